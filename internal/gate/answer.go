package gate

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// answer writes the response to the caller. It is used by one goroutine at a time.
type answer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	stream     bool
	// events is the number of events written.
	events uint64
	// copy receives a copy of what is sent, for requests whose result is stored; else nil.
	copy *Result
	// beforeLastEvent, if set, is called before the last event is sent.
	beforeLastEvent func()
}

// Result is a complete answer as stored for retries by the caller.
type Result struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
}

// isStream reports whether the content type is that of an event stream.
func isStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

func newAnswer(w http.ResponseWriter) *answer {
	return &answer{w: w, controller: http.NewResponseController(w)}
}

// limit sets the write deadline, so that a slow reader cannot hold the request
// indefinitely.
func (a *answer) limit(clk barleystep.Clock, deadline time.Time) {
	_ = a.controller.SetWriteDeadline(clock.WallTime(clk, deadline)) // Response recorders in tests do not support deadlines.
}

func (a *answer) writeHeader(status int, contentType string, stream bool) {
	a.started = true
	a.stream = stream
	h := a.w.Header()
	h.Set("Content-Type", contentType)
	if stream {
		h.Set("Trailer", HeaderOutcome)
		h.Set("Cache-Control", "no-cache")
	} else {
		h.Set(HeaderOutcome, barleystep.OutcomeDone.String())
	}
	if a.copy != nil {
		a.copy.Status = status
		a.copy.Type = contentType
	}
	a.w.WriteHeader(status)
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	newline    = []byte("\n")
	eventLine  = []byte("\ndata: ")
)

// writeEvent writes one event, and flushes it if the answer is a stream.
func (a *answer) writeEvent(e barleystep.Event) error {
	data := e.Data()
	if a.stream {
		data = frameEvent(data)
	}
	if a.copy != nil {
		a.copy.Body = append(a.copy.Body, data...)
	}
	if e.Last() && a.beforeLastEvent != nil {
		a.beforeLastEvent()
	}
	a.events++
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if !a.stream {
		return nil
	}
	return a.controller.Flush()
}

// frameEvent returns data encoded as one server-sent event.
func frameEvent(data []byte) []byte {
	if bytes.Contains(data, newline) {
		data = bytes.ReplaceAll(data, newline, eventLine)
	}
	framed := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	framed = append(framed, eventStart...)
	framed = append(framed, data...)
	return append(framed, eventEnd...)
}

// replay writes a stored result.
func (a *answer) replay(r Result) {
	a.writeHeader(r.Status, r.Type, false)
	_, _ = a.w.Write(r.Body) // The caller may have disconnected.
}

// outcome sets the outcome trailer of a streamed answer.
func (a *answer) outcome(o barleystep.Outcome) {
	if a.stream {
		a.w.Header().Set(HeaderOutcome, o.String())
	}
}

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// refuse ends the answer with an error: as a complete response, or as an error event if the
// stream has started.
func (a *answer) refuse(r *barleystep.Refusal) {
	body, err := json.Marshal(errorBody{errorDetail{
		Message: r.Error(),
		Type:    errorType(r),
		Code:    string(r.Reason()),
		Outcome: r.Outcome().String(),
	}})
	if err != nil {
		body = nil
	}
	if a.started {
		a.refuseStarted(body, r)
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, r.Outcome().String())
	h.Set(HeaderReason, string(r.Reason()))
	if r.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter().Seconds()))))
	}
	a.w.WriteHeader(statusOf(r))
	_, _ = a.w.Write(body) // The caller may have disconnected.
}

func (a *answer) refuseStarted(body []byte, r *barleystep.Refusal) {
	if !a.stream {
		// Abort the connection, so that a truncated body does not look complete.
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write([]byte("event: error\n")) // The caller may have disconnected.
	_, _ = a.w.Write(frameEvent(body))
	a.outcome(r.Outcome())
	_ = a.controller.Flush()
}

func errorType(r *barleystep.Refusal) string {
	switch s := statusOf(r); {
	case s == http.StatusUnauthorized:
		return "authentication_error"
	case s == http.StatusTooManyRequests:
		return "rate_limit_error"
	case s < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

var statusByReason = map[barleystep.Reason]int{
	barleystep.ReasonMalformed:             http.StatusBadRequest,
	barleystep.ReasonBodyTooLarge:          http.StatusRequestEntityTooLarge,
	barleystep.ReasonEmptyPrompt:           http.StatusBadRequest,
	barleystep.ReasonPromptTooLong:         http.StatusBadRequest,
	barleystep.ReasonUnknownModel:          http.StatusNotFound,
	barleystep.ReasonUnknownClass:          http.StatusForbidden,
	barleystep.ReasonUnknownService:        http.StatusNotFound,
	barleystep.ReasonMissingKey:            http.StatusUnauthorized,
	barleystep.ReasonInvalidKey:            http.StatusUnauthorized,
	barleystep.ReasonTimeLimitOutOfRange:   http.StatusBadRequest,
	barleystep.ReasonMissingIdempotencyKey: http.StatusBadRequest,
	barleystep.ReasonIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	barleystep.ReasonStillRunning:          http.StatusConflict,
	barleystep.ReasonEarlierOutcomeUnknown: http.StatusConflict,
	barleystep.ReasonOverShare:             http.StatusTooManyRequests,
	barleystep.ReasonDeadlineCannotBeMet:   http.StatusTooManyRequests,
	barleystep.ReasonQueueFull:             http.StatusTooManyRequests,
	barleystep.ReasonDeadline:              http.StatusGatewayTimeout,
	barleystep.ReasonTargetFailed:          http.StatusBadGateway,
	barleystep.ReasonBrokenStream:          http.StatusBadGateway,
	barleystep.ReasonWrongAttempt:          http.StatusBadGateway,
	barleystep.ReasonInternal:              http.StatusInternalServerError,
}

// statusOf returns the HTTP status of a refusal. A box that shuts down answers 502 instead of 503
// for a request that a target may have run.
func statusOf(r *barleystep.Refusal) int {
	if r.Reason() == barleystep.ReasonStopping && r.Outcome() != barleystep.OutcomeNotRun {
		return http.StatusBadGateway
	}
	if s, ok := statusByReason[r.Reason()]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
