package router

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/platform"
)

// TestRecordsRefused checks the metrics of records that are invalid.
func TestRecordsRefused(t *testing.T) {
	c := quicktest.New(t)
	quiet := &log.Logger{Level: log.PanicLevel}
	manual := clock.NewManual(time.Unix(1000, 0))
	r := &Router{
		configuration: &follow.Configuration{Clock: manual, Decode: platform.DecodeConfiguration, Log: quiet},
		targets:       &follow.Targets{Clock: manual, Decode: platform.DecodeTarget, Log: quiet},
	}
	r.balancer = &balance.Balancer{Clock: manual, Targets: r.targets.List, Log: quiet}
	r.configuration.Apply(barleystep.NewRecord("config", []byte("{")))
	r.configuration.Apply(barleystep.NewRecord("config", []byte(
		`{"version":1,"routes":[],"services":[{"name":"app"}],"limits":{"max_body_bytes":1,"idle_timeout_ms":1}}`)))
	for id, service := range map[string]string{"a": "app", "b": "nobody's"} {
		r.targets.Apply(barleystep.NewRecord(id, []byte(
			`{"service":"`+service+`","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"call_seq":0}`)))
	}
	r.targets.Apply(barleystep.NewRecord("c", []byte(`{}`)))
	r.targets.Apply(barleystep.NewRecord("d", []byte(`nothing`)))
	r.targets.Apply(barleystep.NewRecord("d", []byte(`nothing`)))

	refused := values(r.recordsRefused())
	c.Check(refused["configuration, unreadable"], quicktest.Equals, 1.0)
	c.Check(refused["configuration, missing"], quicktest.Equals, 0.0)
	c.Check(refused["targets, missing"], quicktest.Equals, 1.0)
	c.Check(refused["targets, unreadable"], quicktest.Equals, 2.0)
	states := values(r.targetStates())
	c.Check(states["known"], quicktest.Equals, 2.0)
	c.Check(states["no_service"], quicktest.Equals, 1.0)
	c.Check(states["foreign"], quicktest.Equals, 2.0)
}

func values(samples []metric.Sample) map[string]float64 {
	m := make(map[string]float64)
	for _, s := range samples {
		m[s.Label] = s.Value
	}
	return m
}

// TestSlowTargetMetric checks that a target that peers report as slow shows in the metric of targets.
func TestSlowTargetMetric(t *testing.T) {
	manual := clock.NewManual(time.Unix(1000, 0))
	quiet := &log.Logger{Level: log.PanicLevel}
	r := &Router{
		Clock:         manual,
		configuration: &follow.Configuration{Clock: manual, Decode: platform.DecodeConfiguration, Log: quiet},
		targets:       &follow.Targets{Clock: manual, Decode: platform.DecodeTarget, Log: quiet},
	}
	r.balancer = &balance.Balancer{Clock: manual, Targets: r.targets.List, Log: quiet}
	peers := balance.NewSnapshot()
	for id, observed := range map[string]time.Duration{"a": 9 * time.Second, "b": 2 * time.Second, "c": 2 * time.Second} {
		r.targets.Apply(barleystep.NewRecord(id, []byte(
			`{"service":"app","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"call_seq":0}`)))
		peers.Work[balance.KeyOf(id)] = balance.Work{ObservedTTFT: observed, ExpectedTTFT: 2 * time.Second}
	}
	quicktest.Check(t, values(r.targetStates())["slow"], quicktest.Equals, 0.0)
	r.balancer.SetOthers(peers)
	r.balancer.Snapshot()
	quicktest.Check(t, values(r.targetStates())["slow"], quicktest.Equals, 1.0)
}
