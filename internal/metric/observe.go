package metric

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Sample is one value of a metric that is read on collection.
type Sample struct {
	// Label is the attribute value that distinguishes the samples of a metric. It comes from a
	// small set.
	Label string
	Value float64
}

// Observe registers a gauge whose samples are read on each collection. Label is the value of
// the attribute attr.
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
