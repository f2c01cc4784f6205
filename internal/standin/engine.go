// Package standin provides small stand-ins for the systems around barleystep: a model engine, a
// plain service and the platform's list of boxes. They speak the published protocols and serve
// tests and the local hall. They are not meant for production.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/mutex"
)

const (
	bytesPerToken = 4
	defaultOutput = 16
	resumeWindow  = time.Minute // resumeWindow is how long a finished answer can be resumed.
)

// Fault is a fault that a stand-in engine injects into one attempt.
type Fault uint8

// The faults of a stand-in engine.
const (
	// FaultNone serves the attempt normally.
	FaultNone Fault = iota
	// FaultRefuse refuses the attempt and answers that it was not started.
	FaultRefuse
	// FaultNoAnswer executes the attempt and closes the connection without an answer.
	FaultNoAnswer
	// FaultBreakStream closes the connection after the second event. The stream can be resumed.
	FaultBreakStream
	// FaultWrongAttempt answers with the id of another attempt.
	FaultWrongAttempt
	// FaultForeignEvent inserts an event of another attempt into the stream.
	FaultForeignEvent
	// FaultSkipEvent omits an event.
	FaultSkipEvent
	// FaultRepeatEvent sends an event twice.
	FaultRepeatEvent
	// FaultHang starts the attempt and sends nothing.
	FaultHang
)

// Engine is a stand-in model engine. Its exported fields are set before it serves.
type Engine struct {
	Clock barleystep.Clock
	// KVTokens is the size of the KV cache in tokens. Zero means 400,000.
	KVTokens int
	// Step is the time between generated tokens. Zero means none.
	Step time.Duration
	// PrefillRate is the prefill speed in tokens per second. Zero means that prefill takes no time.
	PrefillRate float64
	// Fault returns the fault of each attempt that starts. Nil means FaultNone.
	Fault func(attempt string) Fault
	// ForgetOnBreak drops an attempt when FaultBreakStream breaks its stream, so that it cannot be
	// resumed.
	ForgetOnBreak bool
	// ChecksFence makes the engine refuse orders with a fencing token older than the last one.
	ChecksFence bool

	mu       mutex.Mutex
	attempts map[string]*attemptState
	runs     map[string]int
	leaving  bool
	fence    int64
	orders   int
	weights  string
}

type attemptState struct {
	tokens    int
	deadline  time.Time // deadline is that of the request.
	events    []string
	first     time.Time     // first is when the first token is generated.
	ready     chan struct{} // ready is closed when the answer is complete.
	cancelled chan struct{} // cancelled is closed when the attempt is cancelled.
	closed    bool
	ended     time.Time
}

const defaultEngineTokens = 400_000

// ServeHTTP serves the engine's protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == engine.PathLoad:
		writeJSON(w, e.load())
	case r.URL.Path == engine.PathAttempts:
		writeJSON(w, e.list())
	case r.URL.Path == engine.PathOrders:
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, engine.PathAttempts+"/"):
		e.cancel(strings.TrimPrefix(r.URL.Path, engine.PathAttempts+"/"))
		w.WriteHeader(http.StatusNoContent)
	default:
		e.serveAttempt(w, r)
	}
}

// Runs returns how often each attempt has been started, by its id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// UsedTokens returns the KV cache in use, in tokens.
func (e *Engine) UsedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens()
}

func (e *Engine) usedTokens() int {
	usedTokens := 0
	for _, h := range e.attempts {
		if h.ended.IsZero() {
			usedTokens += h.tokens
		}
	}
	return usedTokens
}

func (e *Engine) capacity() int {
	if e.KVTokens == 0 {
		return defaultEngineTokens
	}
	return e.KVTokens
}

func (e *Engine) load() barleystep.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, h := range e.attempts {
		if h.ended.IsZero() {
			running++
		}
	}
	return barleystep.Load{
		At:          e.Clock.Now(),
		Running:     running,
		FreeTokens:  e.capacity() - e.usedTokens(),
		TotalTokens: e.capacity(),
		Leaving:     e.leaving,
		Weights:     e.weights,
	}
}

func (e *Engine) list() []barleystep.HeldAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := []barleystep.HeldAttempt{}
	for id, h := range e.attempts {
		if h.ended.IsZero() {
			work = append(work, barleystep.HeldAttempt{Attempt: id, Tokens: h.tokens, Deadline: h.deadline})
		}
	}
	return work
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, ok := e.attempts[id]; ok {
		h.close()
		delete(e.attempts, id)
	}
}

func (h *attemptState) close() {
	if !h.closed {
		h.closed = true
		close(h.cancelled)
	}
}

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(engine.HeaderAttempt)
	body, err := readAll(r)
	if err != nil {
		return
	}
	from, resume := strconv.ParseUint(r.Header.Get(engine.HeaderResumeFrom), 10, 64)
	fault := FaultNone
	if resume != nil {
		from = 1
		if e.Fault != nil {
			fault = e.Fault(id)
		}
	}
	if fault == FaultRefuse {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	h, ok := e.admit(id, body, resume == nil, r)
	if !ok {
		refuse(w, http.StatusTooManyRequests)
		return
	}
	e.writeAnswer(w, r, id, h, from, fault, gjson.GetBytes(body, "stream").Bool())
}

// admit returns the attempt with the id, or starts it if it is new and the KV cache has room. ok is
// false if it cannot be started or resumed.
func (e *Engine) admit(id string, body []byte, resume bool, r *http.Request) (h *attemptState, ok bool) {
	prompt := len(body) / bytesPerToken
	output := int(gjson.GetBytes(body, "max_tokens").Int())
	if output == 0 {
		output = defaultOutput
	}
	members := 1 + strings.Count(r.Header.Get(engine.HeaderGroup), ",")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evictEnded()
	if h, ok := e.attempts[id]; ok {
		return h, true
	}
	need := (prompt + output) / members
	if resume || e.leaving || need > e.capacity()-e.usedTokens() {
		return nil, false
	}
	if e.attempts == nil {
		e.attempts = make(map[string]*attemptState)
		e.runs = make(map[string]int)
	}
	e.runs[id]++
	h = &attemptState{tokens: need, ready: make(chan struct{}), cancelled: make(chan struct{})}
	h.events = answerEvents(id, prompt, output, r.URL.Path)
	h.deadline, _ = time.Parse(engine.DeadlineLayout, r.Header.Get(engine.HeaderDeadline))
	h.first = e.Clock.Now().Add(e.prefillTime(prompt))
	e.attempts[id] = h
	go e.generate(h)
	return h, true
}

func (e *Engine) prefillTime(prompt int) time.Duration {
	if e.PrefillRate == 0 {
		return 0
	}
	return time.Duration(float64(prompt) / e.PrefillRate * float64(time.Second))
}

// due returns when the event with the index has been generated.
func (e *Engine) due(h *attemptState, index int) time.Time {
	return h.first.Add(time.Duration(index) * e.Step)
}

func (e *Engine) evictEnded() {
	now := e.Clock.Now()
	for id, h := range e.attempts {
		if !h.ended.IsZero() && now.Sub(h.ended) > resumeWindow {
			delete(e.attempts, id)
		}
	}
}

// generate waits until the answer has been generated and marks it complete.
func (e *Engine) generate(h *attemptState) {
	if !h.waitUntil(context.Background(), e.Clock, e.due(h, len(h.events))) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h.ended = e.Clock.Now()
	close(h.ready)
}

// waitUntil waits until the given time. It reports false if the attempt is cancelled or ctx is done
// first.
func (h *attemptState) waitUntil(ctx context.Context, clk barleystep.Clock, at time.Time) bool {
	t := clk.NewTimer(at.Sub(clk.Now()))
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-h.cancelled:
		return false
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, id string, h *attemptState, from uint64, fault Fault, stream bool) {
	if fault == FaultHang || fault == FaultNoAnswer {
		e.holdUnanswered(r.Context(), h, fault)
		panic(http.ErrAbortHandler)
	}
	echo := id
	if fault == FaultWrongAttempt {
		echo = "other.0000000000000001.1"
	}
	w.Header().Set(engine.HeaderAttempt, echo)
	if !stream {
		if !h.waitReady(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, wholeAnswer(id, h.events))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := int(from) - 1; i < len(h.events); i++ {
		if !h.waitUntil(r.Context(), e.Clock, e.due(h, i)) {
			panic(http.ErrAbortHandler)
		}
		if fault == FaultBreakStream && e.ForgetOnBreak {
			defer e.cancel(id)
		}
		writeWithFault(w, id, h.events[i], uint64(i)+1, fault)
	}
}

func (e *Engine) holdUnanswered(ctx context.Context, h *attemptState, fault Fault) {
	if fault == FaultNoAnswer {
		return
	}
	select {
	case <-ctx.Done():
	case <-h.cancelled:
	}
}

func (h *attemptState) waitReady(ctx context.Context) bool {
	select {
	case <-h.ready:
		return true
	case <-h.cancelled:
		return false
	case <-ctx.Done():
		return false
	}
}

// faultEvent is the number of the event at which a fault of a stream occurs.
const faultEvent = 3

func writeWithFault(w http.ResponseWriter, id, data string, number uint64, fault Fault) {
	if number == faultEvent {
		switch fault {
		case FaultBreakStream:
			panic(http.ErrAbortHandler)
		case FaultForeignEvent:
			writeEvent(w, "other.0000000000000001.1", number, "{}")
		case FaultSkipEvent:
			return
		case FaultRepeatEvent:
			writeEvent(w, id, number, data)
		}
	}
	writeEvent(w, id, number, data)
}

func writeEvent(w http.ResponseWriter, id string, number uint64, data string) {
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", id, number, data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// answerEvents returns the events of an answer. The text names the attempt, so that a test can tell
// which attempt the answer belongs to.
func answerEvents(id string, prompt, output int, path string) []string {
	events := make([]string, 0, output+2)
	for i := range output {
		events = append(events, chunk(id, path, fmt.Sprintf("%s#%d ", id, i)))
	}
	usage := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		id, prompt, output, prompt+output)
	return append(events, usage, engine.DoneData)
}

func chunk(id, path, text string) string {
	if strings.HasSuffix(path, "/chat/completions") {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, text)
	}
	return fmt.Sprintf(`{"id":%q,"object":"text_completion","choices":[{"index":0,"text":%q,"finish_reason":null}]}`, id, text)
}

func wholeAnswer(id string, events []string) string {
	var text strings.Builder
	usage := "{}"
	for _, e := range events {
		text.WriteString(gjson.Get(e, "choices.0.delta.content").String())
		text.WriteString(gjson.Get(e, "choices.0.text").String())
		if u := gjson.Get(e, "usage"); u.Exists() {
			usage = u.Raw
		}
	}
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"text":%q,"finish_reason":"stop"}],"usage":%s}`,
		id, text.String(), text.String(), usage)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(engine.HeaderStarted, "false")
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have closed the connection.
}
