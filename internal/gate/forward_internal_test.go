package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
)

// statusForwarder answers each request with a status.
type statusForwarder int

// Forward returns an answer with the status that says that the request has not run.
func (s statusForwarder) Forward(context.Context, []string, *http.Request, []byte) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Header: http.Header{HeaderOutcome: {"not-run"}}, Body: http.NoBody}, nil
}

// TestForwardStatusThatIsNone guards against an answer of another box with a status such as 000 that is passed
// on, at which net/http panics, or that says that the request has not run.
func TestForwardStatusThatIsNone(t *testing.T) {
	d, err := config.File{
		Classes: []config.Class{{Name: "normal"}},
		Models:  []config.Model{{Name: "m", EngineTokens: 1, MaxPrompt: 1}},
		Targets: []config.Target{{ID: "e", Hall: "other", URL: "http://127.0.0.1:1", Model: "m"}},
	}.Document()
	quicktest.Assert(t, err, quicktest.IsNil)
	view, err := config.NewView(1, d)
	quicktest.Assert(t, err, quicktest.IsNil)
	cases := map[string]struct {
		status  int
		outcome barleystep.Outcome
	}{
		"000":     {0, barleystep.OutcomeUnknown},
		"099":     {99, barleystep.OutcomeUnknown},
		"interim": {100, barleystep.OutcomeUnknown},
		"600":     {600, barleystep.OutcomeUnknown},
		"refusal": {http.StatusServiceUnavailable, barleystep.OutcomeNotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			x := &Exchange{w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), view: view, answer: &answer{w: w}, prompt: prompt{model: "m"}}
			f := &forward{forwarder: statusForwarder(tc.status), hall: "h", clock: clock.System{}, meter: metric.Discard()}
			refused := barleystep.NewRefusal(barleystep.ReasonNoTarget, barleystep.OutcomeNotRun, "There is no target.")
			got := barleystep.AsRefusal(f.Run(t.Context(), x, func(context.Context, *Exchange) error { return refused }))
			quicktest.Check(t, got.Outcome(), quicktest.Equals, tc.outcome)
		})
	}
}
