package follow

import (
	"fmt"
	"maps"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
)

// topicState is the records of a topic by key.
type topicState map[string]string

func (s topicState) records() (list []barleystep.Record) {
	for key, value := range s {
		list = append(list, barleystep.NewRecord(key, []byte(value)))
	}
	return list
}

func (s topicState) apply(u Update) topicState {
	next := maps.Clone(s)
	if u.Full {
		next = make(topicState)
	}
	for _, r := range u.Records {
		if r.Removed() {
			delete(next, r.Key())
		} else {
			next[r.Key()] = string(r.Value())
		}
	}
	return next
}

// TestChangesAcrossLostHistory checks, for random changes of a topic that a reader follows one by one
// or reads as a whole after a loss of history, that boxes which know the topic at any earlier revision
// end up with its state, from the changes that the reader passes on.
func TestChangesAcrossLostHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader changeLog
		state := topicState{"a": "0", "b": "0"}
		revision, known := barleystep.Revision(1), barleystep.Revision(1)
		reader.reset(state.records(), 0, revision)
		history := map[barleystep.Revision]topicState{revision: maps.Clone(state)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var missed []barleystep.Record
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				revision++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				if rapid.Bool().Draw(t, "removed") {
					delete(state, key)
					missed = append(missed, barleystep.NewRemoval(key))
				} else {
					state[key] = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "value"))
					missed = append(missed, barleystep.NewRecord(key, []byte(state[key])))
				}
				history[revision] = maps.Clone(state)
			}
			if rapid.Bool().Draw(t, "history lost") {
				reader.reset(state.records(), known, revision)
			} else {
				reader.apply(missed, revision)
			}
			known = revision
		}
		for at, earlier := range history {
			got := earlier.apply(reader.since(at, revision))
			if !maps.Equal(got, state) {
				t.Fatalf("a box at revision %d of %d has %v, want %v", at, revision, got, state)
			}
		}
	})
}

// TestLostHistoryPassesOnChangesOnly checks that a box that was up to date gets only what has changed
// after the reader has lost its history and read the whole topic.
func TestLostHistoryPassesOnChangesOnly(t *testing.T) {
	c := quicktest.New(t)
	state := make(topicState)
	for i := range 1000 {
		state[fmt.Sprint("i-", i)] = "ready"
	}
	var reader changeLog
	reader.reset(state.records(), 0, 10)
	delete(state, "i-1")
	state["i-2"] = "draining"
	reader.reset(state.records(), 10, 20)
	u := reader.since(10, 20)
	c.Check(u.Full, quicktest.IsFalse)
	c.Check(u.Records, quicktest.HasLen, 2)
	c.Check(reader.since(15, 20).Full, quicktest.IsTrue, quicktest.Commentf("its state is of the gap"))
	c.Check(reader.since(20, 20).Records, quicktest.HasLen, 0)
}
