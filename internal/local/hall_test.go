package local_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/phuslu/log"
	"github.com/tidwall/gjson"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/local"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
)

// start runs a hall until the test ends and waits until it is ready.
func start(t *testing.T, h *local.Hall) {
	h.Clock = clock.System{}
	h.Log = &log.Logger{Level: log.PanicLevel}
	h.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		quicktest.Check(t, <-done, quicktest.IsNil)
	})
	<-h.Ready()
}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

func header(kv ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + local.KeyConversia}}
	for i := 0; i < len(kv); i += 2 {
		h.Set(kv[i], kv[i+1])
	}
	return h
}

func send(t *testing.T, url string, h http.Header, body string) reply {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Header = h
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	outcome := resp.Header.Get("Barleystep-Outcome")
	if outcome == "" {
		outcome = resp.Trailer.Get("Barleystep-Outcome")
	}
	return reply{resp.StatusCode, outcome, resp.Header.Get("Barleystep-Reason"), string(text), err}
}

const (
	chatPath      = "/v1/chat/completions"
	wholeRequest  = `{"model":"reader","max_tokens":4,"messages":[{"role":"user","content":"Read this deed."}]}`
	streamRequest = `{"model":"reader","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Read this deed."}]}`
)

func TestOpenAIClient(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{}
	start(t, h)
	client := openai.NewClient(option.WithBaseURL(h.CallersURL(1)+"/v1"), option.WithAPIKey(local.KeyConversia))
	params := openai.ChatCompletionNewParams{
		Model:     local.ModelName,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Read this deed.")},
		MaxTokens: openai.Int(4),
	}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	c.Assert(err, quicktest.IsNil)
	c.Assert(whole.Choices[0].Message.Content, quicktest.Matches, `(box2\.[0-9a-f]{16}\.1#\d ){4}`)

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	c.Assert(stream.Err(), quicktest.IsNil)
	c.Assert(text, quicktest.Matches, `(box2\.[0-9a-f]{16}\.2#\d ){4}`)

	models, err := client.Models.List(t.Context())
	c.Assert(err, quicktest.IsNil)
	c.Assert(models.Data[0].ID, quicktest.Equals, local.ModelName)

	_, err = client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{Model: "no-such"})
	var refused *openai.Error
	c.Assert(err, quicktest.ErrorAs, &refused)
	c.Assert(refused.Code, quicktest.Equals, string(barleystep.ReasonEmptyPrompt))
}

func TestBadInput(t *testing.T) {
	h := &local.Hall{BoxCount: 1, EngineCount: 1}
	start(t, h)
	huge := `{"model":"reader","messages":[{"role":"user","content":"` + strings.Repeat("word ", 1_000_000) + `"}]}`
	cases := map[string]struct {
		path   string
		header http.Header
		body   string
		status int
		reason barleystep.Reason
	}{
		"malformed":            {chatPath, header(), `{"model":`, 400, barleystep.ReasonMalformed},
		"empty prompt":         {chatPath, header(), `{"model":"reader","messages":[]}`, 400, barleystep.ReasonEmptyPrompt},
		"no prompt":            {chatPath, header(), `{"model":"reader"}`, 400, barleystep.ReasonEmptyPrompt},
		"unknown model":        {chatPath, header(), strings.Replace(wholeRequest, "reader", "writer", 1), 404, barleystep.ReasonUnknownModel},
		"unknown class":        {chatPath, header("Barleystep-Class", "golden"), wholeRequest, 403, barleystep.ReasonUnknownClass},
		"missing key":          {chatPath, http.Header{}, wholeRequest, 401, barleystep.ReasonMissingKey},
		"unknown key":          {chatPath, header("Authorization", "Bearer old"), wholeRequest, 401, barleystep.ReasonInvalidKey},
		"time limit too long":  {chatPath, header("Barleystep-Time-Limit", "100h"), wholeRequest, 400, barleystep.ReasonTimeLimitOutOfRange},
		"malformed time limit": {chatPath, header("Barleystep-Time-Limit", "soon"), wholeRequest, 400, barleystep.ReasonTimeLimitOutOfRange},
		"no idempotency key":   {chatPath, header("Barleystep-Repeatable", "no"), wholeRequest, 400, barleystep.ReasonMissingIdempotencyKey},
		"unknown service":      {"/v1/services/none/x", header(), "", 404, barleystep.ReasonUnknownService},
		"prompt too long":      {chatPath, header(), huge, 400, barleystep.ReasonPromptTooLong},
		"body over the limit":  {chatPath, header(), strings.Repeat(" ", 16<<20+1), 413, barleystep.ReasonBodyTooLarge},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			r := send(t, h.CallersURL(0)+tc.path, tc.header, tc.body)
			c.Assert(r.err, quicktest.IsNil)
			c.Check(r.status, quicktest.Equals, tc.status)
			c.Check(r.reason, quicktest.Equals, string(tc.reason))
			c.Check(r.outcome, quicktest.Equals, "not-run")
			c.Check(gjson.Get(r.body, "error.code").String(), quicktest.Equals, string(tc.reason))
		})
	}
	quicktest.Check(t, h.Engine(0).Runs(), quicktest.HasLen, 0)
}

// faultOnce injects the fault into the first attempt only.
func faultOnce(f standin.Fault) func(string) standin.Fault {
	var o sync.Once
	return func(string) (got standin.Fault) {
		o.Do(func() { got = f })
		return got
	}
}

// faultAlways injects the fault into every attempt.
func faultAlways(f standin.Fault) func(string) standin.Fault {
	return func(string) standin.Fault { return f }
}

func TestTargetFaults(t *testing.T) {
	limit := []string{"Barleystep-Time-Limit", "2s"}
	nonRepeatable := []string{"Barleystep-Repeatable", "no", "Idempotency-Key", "k"}
	cases := map[string]struct {
		fault   func(string) standin.Fault
		header  http.Header
		body    string
		outcome string
		runs    int // runs is the total number of attempts that engines started.
	}{
		"refused once, retried at another engine":              {faultOnce(standin.FaultRefuse), header(), wholeRequest, "done", 1},
		"no answer once, retried at another engine":            {faultOnce(standin.FaultNoAnswer), header(), wholeRequest, "done", 2},
		"answer of another attempt, retried at another engine": {faultOnce(standin.FaultWrongAttempt), header(), streamRequest, "done", 2},
		"broken stream is resumed":                             {faultOnce(standin.FaultBreakStream), header(), streamRequest, "done", 1},
		"chunk of another attempt, resumed":                    {faultOnce(standin.FaultForeignEvent), header(), streamRequest, "done", 1},
		"missing chunk, resumed":                               {faultOnce(standin.FaultSkipEvent), header(), streamRequest, "done", 1},
		"repeated chunk is dropped":                            {faultOnce(standin.FaultRepeatEvent), header(), streamRequest, "done", 1},
		"all engines refuse":                                   {faultAlways(standin.FaultRefuse), header(limit...), wholeRequest, "not-run", 0},
		"hangs until the deadline":                             {faultAlways(standin.FaultHang), header(limit...), wholeRequest, "failed", 1},
		"not repeatable, refused once":                         {faultOnce(standin.FaultRefuse), header(nonRepeatable...), wholeRequest, "done", 1},
		"not repeatable, no answer, resumed":                   {faultOnce(standin.FaultNoAnswer), header(nonRepeatable...), wholeRequest, "done", 1},
		"not repeatable, answer of another attempt":            {faultAlways(standin.FaultWrongAttempt), header(nonRepeatable...), wholeRequest, "done", 1},
		"not repeatable, hangs until the deadline":             {faultAlways(standin.FaultHang), header(append(limit, nonRepeatable...)...), wholeRequest, "unknown", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := &local.Hall{BoxCount: 1, EngineCount: 3, Fault: tc.fault}
			start(t, h)
			r := send(t, h.CallersURL(0)+chatPath, tc.header, tc.body)
			c.Assert(r.err, quicktest.IsNil)
			c.Check(r.outcome, quicktest.Equals, tc.outcome)
			runs := 0
			for i := range 3 {
				for _, n := range h.Engine(i).Runs() {
					c.Check(n, quicktest.Equals, 1)
					runs++
				}
			}
			c.Check(runs, quicktest.Equals, tc.runs)
			if tc.outcome == "done" {
				checkWhole(c, r.body)
			}
		})
	}
}

// checkWhole checks that the answer contains each of its four parts exactly once, in
// order and from a single attempt.
func checkWhole(c *quicktest.C, body string) {
	var parts []string
	for _, line := range strings.Split(body, "\n") {
		line = strings.TrimPrefix(line, "data: ")
		parts = append(parts, gjson.Get(line, "choices.0.delta.content").String()+gjson.Get(line, "choices.0.message.content").String())
	}
	words := strings.Fields(strings.Join(parts, ""))
	c.Assert(words, quicktest.HasLen, 4)
	id, _, _ := strings.Cut(words[0], "#")
	for i, w := range words {
		c.Check(w, quicktest.Equals, id+"#"+string(rune('0'+i)))
	}
}

func TestStreamThatFailsHalfWayEndsWithAnError(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{BoxCount: 1, EngineCount: 1, Fault: faultAlways(standin.FaultBreakStream)}
	start(t, h)
	h.Engine(0).ForgetOnBreak = true
	r := send(t, h.CallersURL(0)+chatPath, header(), streamRequest)
	c.Check(r.outcome, quicktest.Equals, "failed")
	c.Check(r.body, quicktest.Contains, "event: error\ndata: {\"error\"")
	c.Check(strings.Contains(r.body, "[DONE]"), quicktest.IsFalse)
}

func TestClaims(t *testing.T) {
	nonRepeatable := header("Barleystep-Repeatable", "no", "Idempotency-Key", "invoice-7")
	t.Run("retry at another box gets the first answer", func(t *testing.T) {
		c := quicktest.New(t)
		h := &local.Hall{BoxCount: 2, EngineCount: 2}
		start(t, h)
		first := send(t, h.CallersURL(0)+chatPath, nonRepeatable, wholeRequest)
		again := send(t, h.CallersURL(1)+chatPath, nonRepeatable, wholeRequest)
		c.Check(first.outcome, quicktest.Equals, "done")
		c.Check(again.body, quicktest.Equals, first.body)
		c.Check(len(h.Engine(0).Runs())+len(h.Engine(1).Runs()), quicktest.Equals, 1)
		other := send(t, h.CallersURL(1)+chatPath, nonRepeatable, streamRequest)
		c.Check(other.reason, quicktest.Equals, string(barleystep.ReasonIdempotencyKeyReused))
	})
	t.Run("an unavailable store refuses only non-repeatable requests", func(t *testing.T) {
		c := quicktest.New(t)
		down := &table.Faulty{Table: &table.Memory{}}
		h := &local.Hall{BoxCount: 1, EngineCount: 1, Table: down}
		start(t, h)
		down.SetPlan(func(call table.Call) table.Failure { return table.FailureUnavailable })
		r := send(t, h.CallersURL(0)+chatPath, nonRepeatable, wholeRequest)
		c.Check(r.outcome, quicktest.Equals, "not-run")
		c.Check(r.reason, quicktest.Equals, string(barleystep.ReasonStoreUnavailable))
		c.Check(send(t, h.CallersURL(0)+chatPath, header(), wholeRequest).outcome, quicktest.Equals, "done")
		c.Check(h.Engine(0).Runs(), quicktest.HasLen, 1)
	})
	t.Run("a hung store delays no request forever", func(t *testing.T) {
		c := quicktest.New(t)
		hung := &table.Faulty{Table: &table.Memory{}}
		h := &local.Hall{BoxCount: 1, EngineCount: 1, Table: hung}
		start(t, h)
		hung.SetPlan(func(table.Call) table.Failure { return table.FailureHang })
		r := send(t, h.CallersURL(0)+chatPath, nonRepeatable, wholeRequest)
		c.Check(r.outcome, quicktest.Equals, "not-run")
		c.Check(send(t, h.CallersURL(0)+chatPath, header(), wholeRequest).outcome, quicktest.Equals, "done")
		c.Check(h.Engine(0).Runs(), quicktest.HasLen, 1)
	})
	t.Run("a lost answer of the table does not lose the claim", func(t *testing.T) {
		c := quicktest.New(t)
		lossy := &table.Faulty{Table: &table.Memory{}}
		h := &local.Hall{BoxCount: 1, EngineCount: 1, Table: lossy}
		start(t, h)
		lossy.SetPlan(func(call table.Call) table.Failure {
			if call.Write() {
				return table.FailureAnswerLost
			}
			return table.FailureNone
		})
		c.Check(send(t, h.CallersURL(0)+chatPath, nonRepeatable, wholeRequest).outcome, quicktest.Equals, "done")
		c.Check(h.Engine(0).Runs(), quicktest.HasLen, 1)
	})
	t.Run("a service call is not sent twice", func(t *testing.T) {
		c := quicktest.New(t)
		h := &local.Hall{BoxCount: 2, EngineCount: 1, Objects: &object.Memory{}}
		start(t, h)
		for range 3 {
			r := send(t, h.CallersURL(0)+"/v1/services/portal/topup", nonRepeatable, "20 lei")
			c.Check(r.outcome, quicktest.Equals, "done")
		}
		c.Check(h.Service().Calls(), quicktest.HasLen, 1)
	})
}

// TestCallerGoesAway checks that the engine's KV cache is freed when the caller
// disconnects.
func TestCallerGoesAway(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{BoxCount: 1, EngineCount: 1, Fault: faultAlways(standin.FaultHang)}
	start(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.CallersURL(0)+chatPath, bytes.NewReader([]byte(wholeRequest)))
	c.Assert(err, quicktest.IsNil)
	req.Header = header()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	eventually(t, func() bool { return h.Engine(0).UsedTokens() > 0 })
	cancel()
	<-done
	eventually(t, func() bool { return h.Engine(0).UsedTokens() == 0 })
}

// TestPlannedStop checks that a planned stop lets a running stream finish.
func TestPlannedStop(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{BoxCount: 2, EngineCount: 1}
	start(t, h)
	done := make(chan reply)
	long := strings.Replace(streamRequest, `"max_tokens":4`, `"max_tokens":60`, 1)
	go func() { done <- send(t, h.CallersURL(0)+chatPath, header(), long) }()
	eventually(t, func() bool { return h.Engine(0).UsedTokens() > 0 })
	h.StopBox(0)
	r := <-done
	c.Check(r.outcome, quicktest.Equals, "done")
	c.Check(strings.Count(r.body, "data: "), quicktest.Equals, 62)
}

// eventually polls cond until it is true and fails the test after 30 seconds.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	const timeout = 30 * time.Second
	clk := clock.System{}
	for until := clk.Now().Add(timeout); clk.Now().Before(until); {
		if cond() {
			return
		}
		clock.Sleep(t.Context(), clk, time.Millisecond)
	}
	t.Fatal("condition not met in time")
}
