package follow

import (
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/strict"
)

const (
	// refusalLines is the most lines about refused records in refusalWindow: whoever
	// writes such records writes as many as he likes, and the lines share their room
	// with those about requests.
	maxRefusalLines = 20
	refusalWindow   = 10 * time.Second
)

// refusal is why a record is refused now.
type refusal struct {
	text string
	// told is set if there was a line about it.
	logged bool
}

// refusals holds the records of a topic that are refused, and counts how often that
// was. Its zero value holds none.
type refusals struct {
	current map[string]refusal
	counts  [len(strict.Reasons)]int64

	window   time.Time // window is when the lines began to be counted.
	lines    int
	unlogged int
}

// add notes that a record is refused, and returns the line to be written about it, nil
// if its reason is the same as before or there were too many lines.
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

// drop notes that a record is refused no longer. It reports whether it was refused
// without a line, so that its return needs none.
func (r *refusals) drop(key string) (silent bool) {
	old, found := r.current[key]
	delete(r.current, key)
	return found && !old.logged
}

// Refused is how many records were refused for a reason.
type RefusalCount struct {
	Flaw  strict.Reason
	Count int64
}

// list returns the counts by reason.
func (r *refusals) byReason() []RefusalCount {
	list := make([]RefusalCount, 0, len(r.counts))
	for flaw, n := range r.counts {
		list = append(list, RefusalCount{Flaw: strict.Reason(flaw), Count: n})
	}
	return list
}
