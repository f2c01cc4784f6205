package version

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run draw the same events.
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// storeModel models the head row, the version rows and the submissions of concurrent operators.
type storeModel struct {
	head          head
	rowVersion    int64
	rows          map[int64]string // rows maps a version to the id of the accepted submission.
	pastReads     []observation
	delayedWrites []delayedWrite
	submitters    []*submitter
}

// delayedWrite is a write without an answer that may take effect later.
type delayedWrite struct {
	rowVersion int64
	head       head
}

type submitter struct {
	sub    submission
	action action
}

func (w *storeModel) state(version int64) observation {
	o := observation{head: w.head, rowVersion: w.rowVersion}
	if id, ok := w.rows[version]; ok {
		o.row = Increment{Version: version, ID: id}
	}
	return o
}

// commit writes the head, and the version's row if the head advances.
func (w *storeModel) commit(rowVersion int64, h head) bool {
	if w.rowVersion != rowVersion {
		return false
	}
	w.pastReads = append(w.pastReads, w.state(w.head.Version+1))
	if h.Version > w.head.Version {
		w.rows[h.Version] = h.ID
	}
	w.head = h
	w.rowVersion++
	return true
}

func (w *storeModel) perform(t *rapid.T, r *submitter) observation {
	switch r.action {
	case actionAccept:
		return w.write(t, r.sub.rowVersion, head{Version: r.sub.base + 1, ID: r.sub.id})
	case actionExclude:
		return w.write(t, r.sub.rowVersion, r.sub.oldHead)
	}
	if len(w.pastReads) > 0 && rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		return rapid.SampledFrom(w.pastReads).Draw(t, "past")
	}
	return w.state(r.sub.base + 1)
}

func (w *storeModel) write(t *rapid.T, rowVersion int64, h head) observation {
	switch rapid.SampledFrom([]string{"answered", "unavailable", "answer lost", "late"}).Draw(t, "write") {
	case "unavailable":
		return observation{fault: barleystep.FaultUnavailable}
	case "answer lost":
		w.commit(rowVersion, h)
		return observation{fault: barleystep.FaultUnknownEffect}
	case "late":
		w.delayedWrites = append(w.delayedWrites, delayedWrite{rowVersion, h})
		return observation{fault: barleystep.FaultUnknownEffect}
	}
	if w.commit(rowVersion, h) {
		return observation{}
	}
	return observation{fault: barleystep.FaultConflict}
}

// TestSubmissionsAreSettledTruthfully drives concurrent submissions through lost and delayed writes
// and stale reads. It checks that the head never goes back, and that every reported outcome stays
// true whichever write takes effect later.
func TestSubmissionsAreSettledTruthfully(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &storeModel{rows: make(map[int64]string)}
		highest := int64(0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.advance(t)
			if w.head.Version < highest {
				t.Fatalf("the head went back from %d to %d", highest, w.head.Version)
			}
			highest = w.head.Version
			w.checkOutcomes(t)
		}
	})
}

func (w *storeModel) advance(t *rapid.T) {
	switch pick := rapid.IntRange(0, 7).Draw(t, "event"); {
	case pick == 0 || len(w.submitters) == 0:
		s, a := newSubmission(string(rune('a'+len(w.submitters))), w.head.Version)
		w.submitters = append(w.submitters, &submitter{s, a})
	case pick == 1 && len(w.delayedWrites) > 0:
		i := rapid.IntRange(0, len(w.delayedWrites)-1).Draw(t, "late")
		w.commit(w.delayedWrites[i].rowVersion, w.delayedWrites[i].head)
		w.delayedWrites = append(w.delayedWrites[:i], w.delayedWrites[i+1:]...)
	default:
		r := rapid.SampledFrom(w.submitters).Draw(t, "racer")
		if r.action != actionNone {
			r.sub, r.action = r.sub.step(w.perform(t, r))
		}
	}
}

func (w *storeModel) checkOutcomes(t *rapid.T) {
	for _, r := range w.submitters {
		accepted := w.rows[r.sub.base+1] == r.sub.id
		switch r.sub.outcome {
		case outcomeAccepted:
			if !accepted {
				t.Fatalf("%s: reported as accepted, but is not", r.sub)
			}
		case outcomeNotAccepted, outcomeConflict:
			if accepted {
				t.Fatalf("%s: reported outcome %d, but was accepted", r.sub, r.sub.outcome)
			}
		}
	}
}
