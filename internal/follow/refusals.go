package follow

import (
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/strict"
)

const (
	// maxRefusalLines bounds the log lines about refused records per refusalWindow: a faulty
	// writer may write any number of invalid records, and their lines compete with those about
	// requests.
	maxRefusalLines = 20
	refusalWindow   = 10 * time.Second
)

// refusal is the reason why a record is currently refused.
type refusal struct {
	text string
	// logged is set if a log line reported it.
	logged bool
}

// refusals holds the records of a topic that are currently refused, and counts refusals by
// reason. Its zero value is empty.
type refusals struct {
	current map[string]refusal
	counts  [len(strict.Reasons)]int64

	window   time.Time // window is the start of the current log window.
	lines    int
	unlogged int
}

// add records that a record is refused. It returns the log line to write about it, or nil if
// the reason is unchanged or maxRefusalLines is reached.
func (r *refusals) add(key string, err error, now time.Time, l *log.Logger) *log.Entry {
	flaw := strict.ReasonOf(err)
	r.counts[flaw]++
	if old, found := r.current[key]; found && old.text == err.Error() {
		return nil
	}
	if r.current == nil {
		r.current = make(map[string]refusal)
	}
	logged := r.allowLine(now)
	r.current[key] = refusal{text: err.Error(), logged: logged}
	if !logged {
		return nil
	}
	line := l.Error().Str("reason", flaw.String()).Err(err).Int("unlogged", r.unlogged)
	r.unlogged = 0
	return line
}

func (r *refusals) allowLine(now time.Time) bool {
	if now.Sub(r.window) >= refusalWindow {
		r.window, r.lines = now, 0
	}
	if r.lines == maxRefusalLines {
		r.unlogged++
		return false
	}
	r.lines++
	return true
}

// drop records that a record is no longer refused. It reports whether the refusal was not
// logged, in which case the record's return need not be logged either.
func (r *refusals) drop(key string) (silent bool) {
	old, found := r.current[key]
	delete(r.current, key)
	return found && !old.logged
}

// RefusalCount is the number of records that were refused for a reason.
type RefusalCount struct {
	Flaw  strict.Reason
	Count int64
}

// list returns the counts by reason.
func (r *refusals) list() []RefusalCount {
	list := make([]RefusalCount, 0, len(r.counts))
	for flaw, n := range r.counts {
		list = append(list, RefusalCount{Flaw: strict.Reason(flaw), Count: n})
	}
	return list
}
