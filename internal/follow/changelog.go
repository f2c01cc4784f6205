package follow

import (
	"bytes"
	"maps"
	"slices"

	"github.com/barleystep/barleystep"
)

// Update holds changes of a topic that a box passes on to another one.
type Update struct {
	// Records are the changes, or the whole topic if Full is set.
	Records  []barleystep.Record
	Full     bool
	Revision barleystep.Revision
}

// changeLog is a copy of a topic with the revision at which each record changed. Its zero value
// is empty.
type changeLog struct {
	entries map[string]entry
	removed map[string]barleystep.Revision
	// completeSince is the revision after which all changes are known.
	completeSince barleystep.Revision
	// lastChange is the revision of the last change.
	lastChange barleystep.Revision
	// gaps are spans of which only the state at both ends is known, in order.
	gaps []gap
}

// gap is a span between two revisions.
type gap struct {
	start, end barleystep.Revision
}

// maxGaps bounds the gaps that are remembered.
const maxGaps = 64

type entry struct {
	record   barleystep.Record
	revision barleystep.Revision
}

// maxRemovals bounds the removals that are remembered, which covers some minutes in which
// targets come and go.
const maxRemovals = 1024

// reset replaces the records by those of a whole topic. If the state at an earlier revision is known,
// the differences count as changes at the new one: boxes that were up to date get only these, where
// passing the whole topic on to each of them after every loss of history would take longer than the
// next one.
func (f *changeLog) reset(records []barleystep.Record, known, revision barleystep.Revision) {
	if f.entries == nil {
		f.entries = make(map[string]entry, len(records))
		f.removed = make(map[string]barleystep.Revision)
		f.completeSince = revision
	}
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key()] = true
		if old, ok := f.entries[r.Key()]; !ok || !bytes.Equal(old.record.Value(), r.Value()) {
			delete(f.removed, r.Key())
			f.entries[r.Key()] = entry{r, revision}
		}
	}
	for key := range f.entries {
		if !present[key] {
			delete(f.entries, key)
			f.removed[key] = revision
		}
	}
	f.lastChange = revision
	f.addGap(gap{known, revision})
	f.boundRemovals(revision)
}

// addGap notes that the changes between two revisions are not known one by one.
func (f *changeLog) addGap(g gap) {
	f.gaps = append(f.gaps, g)
	if len(f.gaps) > maxGaps {
		f.completeSince = max(f.completeSince, f.gaps[0].end)
		f.gaps = f.gaps[1:]
	}
}

// isComplete reports whether all changes after the revision are known. Within a gap, a record may
// have had a value that it had neither before nor after.
func (f *changeLog) isComplete(revision barleystep.Revision) bool {
	inGap := slices.ContainsFunc(f.gaps, func(g gap) bool { return g.start < revision && revision < g.end })
	return revision >= f.completeSince && !inGap
}

// boundRemovals forgets the removals if there are too many.
func (f *changeLog) boundRemovals(revision barleystep.Revision) {
	if len(f.removed) > maxRemovals {
		clear(f.removed)
		f.completeSince = revision
	}
}

func (f *changeLog) apply(records []barleystep.Record, revision barleystep.Revision) {
	for _, r := range records {
		if r.Removed() {
			delete(f.entries, r.Key())
			f.removed[r.Key()] = revision
		} else {
			delete(f.removed, r.Key())
			f.entries[r.Key()] = entry{r, revision}
		}
		f.lastChange = revision
	}
	f.boundRemovals(revision)
}

// since returns the changes after the revision, or the whole topic if the log does not reach
// back that far.
func (f *changeLog) since(revision, now barleystep.Revision) Update {
	u := Update{Full: !f.isComplete(revision), Revision: now}
	for _, key := range slices.Sorted(maps.Keys(f.entries)) {
		if e := f.entries[key]; u.Full || e.revision > revision {
			u.Records = append(u.Records, e.record)
		}
	}
	if u.Full {
		return u
	}
	for _, key := range slices.Sorted(maps.Keys(f.removed)) {
		if f.removed[key] > revision {
			u.Records = append(u.Records, barleystep.NewRemoval(key))
		}
	}
	return u
}
