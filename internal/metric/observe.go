package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Sample is one value of a metric that is read when it is asked for.
type Sample struct {
	// Label tells the metric's samples apart; it is one of a few.
	Label string
	Value float64
}

// Observe exports a metric whose samples are read whenever metrics are asked for.
// The samples differ in the attribute.
func (e *Exporter) Observe(name, help, attr string, read func() []Sample) {
	_, err := e.provider.Meter(scope).Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range read() {
				o.Observe(s.Value, metric.WithAttributes(attribute.String(attr, s.Label)))
			}
			return nil
		}))
	if err != nil {
		panic(err) // The names are constants of the callers.
	}
}
