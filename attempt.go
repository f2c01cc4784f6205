package barleystep

import (
	"strconv"
	"strings"
	"time"
)

// AttemptID identifies one try of one request at one target. It combines the box, its
// incarnation and a counter, so it is unique over all boxes and restarts.
type AttemptID struct {
	box         BoxID
	incarnation Incarnation
	number      uint64
}

// NewAttemptID returns the id of an attempt by its number within an incarnation of a box.
func NewAttemptID(box BoxID, inc Incarnation, number uint64) AttemptID {
	return AttemptID{box: box, incarnation: inc, number: number}
}

// String returns the id in the form that is used in headers: "box.incarnation.number".
func (a AttemptID) String() string {
	return string(a.box) + "." + a.incarnation.String() + "." + strconv.FormatUint(a.number, 10)
}

// Box returns the box that made the attempt.
func (a AttemptID) Box() BoxID { return a.box }

// Incarnation returns the incarnation of the box that made the attempt.
func (a AttemptID) Incarnation() Incarnation { return a.incarnation }

// Number returns the number of the attempt within its incarnation.
func (a AttemptID) Number() uint64 { return a.number }

// ParseAttemptID parses the output of String; ok is false for any other text.
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

// Attempt is a request as it is sent to a target. The body is passed on unchanged.
type Attempt struct {
	ID          AttemptID
	Path        string
	Body        []byte
	ContentType string // ContentType is that of the body.
	Method      string // Method is the HTTP method, POST when empty.
	Deadline    time.Time
	// Priority orders work inside the target; lower values run first, as engines define it.
	Priority int
	// ResumeFrom is the number of the first event wanted when a stream is resumed; zero starts
	// the attempt.
	ResumeFrom uint64
	// Group lists the engines that serve the prompt together, the target itself first. It is
	// empty for a prompt that fits one engine.
	Group []TargetID
}
