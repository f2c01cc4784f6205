package barleystep

import (
	"strconv"
	"strings"
	"time"
)

// AttemptID names one try of one request at one target. No two attempts ever
// share an id: it joins the box, its incarnation and a counter.
type AttemptID struct {
	box         BoxID
	incarnation Incarnation
	number      uint64
}

// NewAttemptID returns the id of the given attempt of a box's incarnation.
func NewAttemptID(box BoxID, inc Incarnation, number uint64) AttemptID {
	return AttemptID{box: box, incarnation: inc, number: number}
}

// String returns the id as it travels in headers: "box.incarnation.number".
func (a AttemptID) String() string {
	return string(a.box) + "." + a.incarnation.String() + "." + strconv.FormatUint(a.number, 10)
}

// Box returns the box that made the attempt.
func (a AttemptID) Box() BoxID { return a.box }

// Incarnation returns the start of the box that made the attempt.
func (a AttemptID) Incarnation() Incarnation { return a.incarnation }

// Number returns the number of the attempt within its incarnation.
func (a AttemptID) Number() uint64 { return a.number }

// ParseAttemptID reads the text made by String; ok is false for any other.
func ParseAttemptID(s string) (id AttemptID, ok bool) {
	rest, num, found := cutLast(s)
	if !found {
		return AttemptID{}, false
	}
	box, inc, found := cutLast(rest)
	if !found || box == "" {
		return AttemptID{}, false
	}
	n, err := strconv.ParseUint(num, 10, 64)
	if err != nil {
		return AttemptID{}, false
	}
	i, err := strconv.ParseUint(inc, 16, 64)
	if err != nil {
		return AttemptID{}, false
	}
	return NewAttemptID(BoxID(box), Incarnation(i), n), true
}

func cutLast(s string) (head, tail string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// TargetID names a target: a model engine or a plain service.
type TargetID string

// Attempt is what a target is asked to do. The body is passed on as the caller
// sent it.
type Attempt struct {
	ID          AttemptID
	Path        string
	Body        []byte
	ContentType string // Type is the content type of the body.
	Method      string // Method is the HTTP method, POST when empty.
	Deadline    time.Time
	// Priority orders work inside the target, lower first, as engines define it.
	Priority int
	// From is the number of the first event wanted when a stream is resumed;
	// zero starts the attempt.
	ResumeFrom uint64
	// Group names the engines that serve the prompt together, the target
	// itself first; empty for a prompt that fits one engine.
	Group []TargetID
}
