// Package metric defines and exports the metrics of a box. All metrics are safe for concurrent
// use.
package metric

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// scope is the name of the instrumentation scope.
const scope = "barleystep"

// Exporter collects metrics and serves them in the Prometheus text format.
type Exporter struct {
	provider *sdk.MeterProvider
	handler  http.Handler
}

// NewExporter returns an exporter with its own registry.
func NewExporter() (e *Exporter, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "metric: new exporter")
		}
	}()
	registry := prometheus.NewRegistry()
	reader, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	return &Exporter{
		provider: sdk.NewMeterProvider(sdk.WithReader(reader)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// ServeHTTP writes all metrics.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Meter returns a Meter whose metrics the exporter serves.
func (e *Exporter) Meter() *Meter { return newMeter(e.provider.Meter(scope)) }

// Discard returns a Meter that discards all values, for tests and tools.
func Discard() *Meter { return newMeter(noop.NewMeterProvider().Meter(scope)) }

// Meter holds the counters and histograms of a box.
type Meter struct {
	ended         metric.Int64Counter
	refused       metric.Int64Counter
	retried       metric.Int64Counter
	membership    metric.Int64Counter
	takeovers     metric.Int64Counter
	cancelled     metric.Int64Counter
	storeFaults   metric.Int64Counter
	configuration metric.Int64Counter
	returned      metric.Int64Counter
	refusedTimes  metric.Int64Counter
	invalidLoads  metric.Int64Counter
	firstToken    metric.Float64Histogram
}

func newMeter(m metric.Meter) *Meter {
	return &Meter{
		ended:         counter(m, "barleystep_requests_ended", "Requests that ended, by outcome."),
		refused:       counter(m, "barleystep_requests_refused", "Requests that ended without a whole answer, by reason."),
		retried:       counter(m, "barleystep_attempts_retried", "Attempts that were tried again, by reason."),
		membership:    counter(m, "barleystep_membership_events", "Changes seen in the set of live boxes, by kind."),
		takeovers:     counter(m, "barleystep_takeovers", "Duties taken over from another box, by duty."),
		cancelled:     counter(m, "barleystep_cleanups", "Attempts cancelled at targets, by reason."),
		storeFaults:   counter(m, "barleystep_store_faults", "Failed calls to the platform's stores, by operation and fault."),
		configuration: counter(m, "barleystep_configuration_events", "Changes of the configuration in force, by kind."),
		returned:      counter(m, "barleystep_callers_returned", "Callers that were told when to come back, by when they came and whether there was capacity."),
		refusedTimes:  counter(m, "barleystep_refused_times", "Times that the lead's refusals carried, by whether they could be used."),
		invalidLoads:  counter(m, "barleystep_target_loads_invalid", "Answers in which a target stated an unreadable, negative or absurd load of its own."),
		firstToken:    histogram(m, "barleystep_first_token_seconds", "Time to first token, by band of prompt length."),
	}
}

func counter(m metric.Meter, name, help string) metric.Int64Counter {
	c, err := m.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		panic(err) // The names are constants of this file.
	}
	return c
}

func histogram(m metric.Meter, name, help string) metric.Float64Histogram {
	h, err := m.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(firstTokenBuckets...))
	if err != nil {
		panic(err) // The names are constants of this file.
	}
	return h
}

// firstTokenBuckets holds the upper bounds of the histogram's buckets, in seconds.
var firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.54, 0.8, 1.2, 2, 4, 8, 15, 30, 60, 120, 300, 900}

func add(c metric.Int64Counter, kv ...attribute.KeyValue) {
	c.Add(context.Background(), 1, metric.WithAttributes(kv...))
}

// RequestEnded counts a request that ended with the outcome.
func (m *Meter) RequestEnded(outcome string) { add(m.ended, attribute.String("outcome", outcome)) }

// RequestRefused counts a request that ended without a complete answer.
func (m *Meter) RequestRefused(reason, outcome string) {
	add(m.refused, attribute.String("reason", reason), attribute.String("outcome", outcome))
}

// AttemptRetried counts an attempt that is retried.
func (m *Meter) AttemptRetried(reason string) { add(m.retried, attribute.String("reason", reason)) }

// MembershipChanged counts a change in the set of live boxes.
func (m *Meter) MembershipChanged(kind string) { add(m.membership, attribute.String("kind", kind)) }

// TookOver counts a duty that this box has taken over from another one.
func (m *Meter) TookOver(duty string) { add(m.takeovers, attribute.String("duty", duty)) }

// AttemptCancelled counts an attempt that was cancelled at a target.
func (m *Meter) AttemptCancelled(reason string) { add(m.cancelled, attribute.String("reason", reason)) }

// CallerReturned counts a caller that was told when to come back, by when it came and whether it was
// placed.
func (m *Meter) CallerReturned(timing string, placed bool) {
	add(m.returned, attribute.String("timing", timing), attribute.Bool("placed", placed))
}

// RefusedTimeReceived counts a refusal of the lead by whether the time that it carries can be used.
func (m *Meter) RefusedTimeReceived(result string) {
	add(m.refusedTimes, attribute.String("result", result))
}

// StoreFault counts a failed call to the platform's stores.
func (m *Meter) StoreFault(op, fault string) {
	add(m.storeFaults, attribute.String("operation", op), attribute.String("fault", fault))
}

// ConfigurationChanged counts a change of the configuration in force.
func (m *Meter) ConfigurationChanged(kind string) {
	add(m.configuration, attribute.String("kind", kind))
}

// TargetLoadInvalid counts an answer in which a target stated an invalid load.
func (m *Meter) TargetLoadInvalid() { add(m.invalidLoads) }

// FirstToken records the time to first token of a prompt in a band of prompt lengths.
func (m *Meter) FirstToken(band string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("band", band)))
}
