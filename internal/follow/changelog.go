package follow

import (
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
}

type entry struct {
	record   barleystep.Record
	revision barleystep.Revision
}

// maxRemovals bounds the removals that are remembered, which covers some minutes in which
// targets come and go.
const maxRemovals = 1024

func (f *changeLog) reset(records []barleystep.Record, revision barleystep.Revision) {
	f.entries = make(map[string]entry, len(records))
	for _, r := range records {
		f.entries[r.Key()] = entry{r, revision}
	}
	f.removed = make(map[string]barleystep.Revision)
	f.completeSince, f.lastChange = revision, revision
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
	if len(f.removed) > maxRemovals {
		clear(f.removed)
		f.completeSince = revision
	}
}

// since returns the changes after the revision, or the whole topic if the log does not reach
// back that far.
func (f *changeLog) since(revision, now barleystep.Revision) Update {
	u := Update{Full: revision < f.completeSince, Revision: now}
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
