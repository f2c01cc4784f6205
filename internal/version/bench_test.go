package version_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/version"
)

// largeDocument returns a configuration with the given numbers of accounts, targets and models.
func largeDocument(b *testing.B, accounts, targets, models int) config.Document {
	f := config.File{
		Classes:  []config.Class{{Name: "urgent"}, {Name: "normal", Rank: 1}, {Name: "bulk", Rank: 2}},
		Policies: []config.Policy{{Name: "main", Program: `{"weight": class == "urgent" ? weight * 2.0 : weight, "limit": rank > 1 ? 0.5 : 1.0}`}},
	}
	for i := range models {
		f.Models = append(f.Models, config.Model{Name: fmt.Sprint("model-", i), EngineTokens: 400_000, MaxPrompt: 1_000_000})
	}
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		f.Accounts = append(f.Accounts, config.Account{
			Name: name, Weight: 1, Rate: 1_000, Labels: []string{"label"}, Team: "team",
			Keys: []config.Key{{ID: "1", SHA256: config.HashKey(name)}, {ID: "2", SHA256: config.HashKey(name + "/2")}},
		})
	}
	for i := range targets {
		f.Targets = append(f.Targets, config.Target{
			ID: fmt.Sprint("hall-", i%11, "-target-", i), Hall: fmt.Sprint("hall-", i%11), URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/256, i%256),
			Model: fmt.Sprint("model-", i%models),
		})
	}
	d, err := f.Document()
	quicktest.Assert(b, err, quicktest.IsNil)
	return d
}

// BenchmarkCapacityChange measures the time a box takes to apply a change of one target, and the
// size of the configuration in memory and as a snapshot.
func BenchmarkCapacityChange(b *testing.B) {
	for _, s := range []struct{ accounts, targets, models int }{{10, 23, 2}, {100, 100, 5}, {970, 1_000, 20}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", s.accounts, s.targets), func(b *testing.B) {
			before := heapBytes()
			d := largeDocument(b, s.accounts, s.targets, s.models)
			f := &version.Follower{Clock: clock.NewManual(start), Meter: metric.Discard()}
			whole := version.Increment{Version: 1, Changes: d.Entries(), Digest: d.Digest()}
			quicktest.Assert(b, f.Load(whole), quicktest.IsNil)
			snapshot := len(whole.Encode())
			whole = version.Increment{}
			used := heapBytes() - before
			n := int64(1)
			for b.Loop() {
				b.StopTimer()
				n++
				inc := drain(b, d, n)
				d = d.Apply(inc.Changes)
				inc.Digest = d.Digest()
				b.StartTimer()
				quicktest.Assert(b, f.Apply([]version.Increment{inc}), quicktest.IsNil)
			}
			b.ReportMetric(float64(snapshot), "snapshot-B")
			b.ReportMetric(float64(used), "memory-B")
			runtime.KeepAlive(f)
		})
	}
}

// drain returns version n, which sets the first target's drain flag if n is even and clears it
// otherwise.
func drain(b *testing.B, d config.Document, n int64) version.Increment {
	for _, e := range d.Entries() {
		if e.Kind != config.KindTarget {
			continue
		}
		var t config.Target
		quicktest.Assert(b, json.Unmarshal(e.Body, &t), quicktest.IsNil)
		t.Drain = n%2 == 0
		body, err := json.Marshal(t)
		quicktest.Assert(b, err, quicktest.IsNil)
		return version.Increment{Version: n, At: start.Add(time.Duration(n)), Changes: []config.Change{{Kind: e.Kind, Name: e.Name, Body: body}}}
	}
	return version.Increment{}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
