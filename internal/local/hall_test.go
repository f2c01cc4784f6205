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

// start runs a hall until the test ends.
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

// reply is what a caller got.
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
	chat     = "/v1/chat/completions"
	question = `{"model":"reader","max_tokens":4,"messages":[{"role":"user","content":"Read this deed."}]}`
	streamed = `{"model":"reader","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Read this deed."}]}`
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
		"malformed":            {chat, header(), `{"model":`, 400, barleystep.ReasonMalformed},
		"empty prompt":         {chat, header(), `{"model":"reader","messages":[]}`, 400, barleystep.ReasonEmptyPrompt},
		"no prompt":            {chat, header(), `{"model":"reader"}`, 400, barleystep.ReasonEmptyPrompt},
		"unknown model":        {chat, header(), strings.Replace(question, "reader", "writer", 1), 404, barleystep.ReasonUnknownModel},
		"unknown class":        {chat, header("Barleystep-Class", "golden"), question, 403, barleystep.ReasonUnknownClass},
		"missing key":          {chat, http.Header{}, question, 401, barleystep.ReasonMissingKey},
		"stale key":            {chat, header("Authorization", "Bearer old"), question, 401, barleystep.ReasonInvalidKey},
		"time limit too long":  {chat, header("Barleystep-Time-Limit", "100h"), question, 400, barleystep.ReasonTimeLimitOutOfRange},
		"time limit unread":    {chat, header("Barleystep-Time-Limit", "soon"), question, 400, barleystep.ReasonTimeLimitOutOfRange},
		"no idempotency key":   {chat, header("Barleystep-Repeatable", "no"), question, 400, barleystep.ReasonMissingIdempotencyKey},
		"unknown service":      {"/v1/services/none/x", header(), "", 404, barleystep.ReasonUnknownService},
		"longer than anything": {chat, header(), huge, 400, barleystep.ReasonPromptTooLong},
		"body over the limit":  {chat, header(), strings.Repeat(" ", 16<<20+1), 413, barleystep.ReasonBodyTooLarge},
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

// once makes the first attempt meet the fault and all others go well.
func once(f standin.Fault) func(string) standin.Fault {
	var o sync.Once
	return func(string) (got standin.Fault) {
		o.Do(func() { got = f })
		return got
	}
}

func always(f standin.Fault) func(string) standin.Fault {
	return func(string) standin.Fault { return f }
}

func TestTargetFaults(t *testing.T) {
	limit := []string{"Barleystep-Time-Limit", "2s"}
	strict := []string{"Barleystep-Repeatable", "no", "Idempotency-Key", "k"}
	cases := map[string]struct {
		fault   func(string) standin.Fault
		header  http.Header
		body    string
		outcome string
		runs    int // runs is how many attempts were started in all.
	}{
		"refused once, tried elsewhere":         {once(standin.FaultRefuse), header(), question, "done", 1},
		"silent once, tried elsewhere":          {once(standin.FaultNoAnswer), header(), question, "done", 2},
		"foreign answer, tried elsewhere":       {once(standin.FaultWrongAttempt), header(), streamed, "done", 2},
		"torn stream is resumed":                {once(standin.FaultBreakStream), header(), streamed, "done", 1},
		"crossed chunk is resumed":              {once(standin.FaultForeignEvent), header(), streamed, "done", 1},
		"gap is resumed":                        {once(standin.FaultSkipEvent), header(), streamed, "done", 1},
		"repeated chunk is dropped":             {once(standin.FaultRepeatEvent), header(), streamed, "done", 1},
		"all refuse":                            {always(standin.FaultRefuse), header(limit...), question, "not-run", 0},
		"hangs until the deadline":              {always(standin.FaultHang), header(limit...), question, "failed", 1},
		"not repeatable, refused once":          {once(standin.FaultRefuse), header(strict...), question, "done", 1},
		"not repeatable, silent is resumed":     {once(standin.FaultNoAnswer), header(strict...), question, "done", 1},
		"not repeatable, foreign answer":        {always(standin.FaultWrongAttempt), header(strict...), question, "done", 1},
		"not repeatable, hangs to the deadline": {always(standin.FaultHang), header(append(limit, strict...)...), question, "unknown", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := &local.Hall{BoxCount: 1, EngineCount: 3, Fault: tc.fault}
			start(t, h)
			r := send(t, h.CallersURL(0)+chat, tc.header, tc.body)
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

// checkWhole checks that the answer holds each of its four parts once, all of
// one attempt.
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
	h := &local.Hall{BoxCount: 1, EngineCount: 1, Fault: always(standin.FaultBreakStream)}
	start(t, h)
	h.Engine(0).ForgetOnBreak = true
	r := send(t, h.CallersURL(0)+chat, header(), streamed)
	c.Check(r.outcome, quicktest.Equals, "failed")
	c.Check(r.body, quicktest.Contains, "event: error\ndata: {\"error\"")
	c.Check(strings.Contains(r.body, "[DONE]"), quicktest.IsFalse)
}

func TestClaims(t *testing.T) {
	strict := header("Barleystep-Repeatable", "no", "Idempotency-Key", "invoice-7")
	t.Run("retry at another box gets the first answer", func(t *testing.T) {
		c := quicktest.New(t)
		h := &local.Hall{BoxCount: 2, EngineCount: 2}
		start(t, h)
		first := send(t, h.CallersURL(0)+chat, strict, question)
		again := send(t, h.CallersURL(1)+chat, strict, question)
		c.Check(first.outcome, quicktest.Equals, "done")
		c.Check(again.body, quicktest.Equals, first.body)
		c.Check(len(h.Engine(0).Runs())+len(h.Engine(1).Runs()), quicktest.Equals, 1)
		other := send(t, h.CallersURL(1)+chat, strict, streamed)
		c.Check(other.reason, quicktest.Equals, string(barleystep.ReasonIdempotencyKeyReused))
	})
	t.Run("with the store down only such requests are refused", func(t *testing.T) {
		c := quicktest.New(t)
		down := &table.Faulty{Table: &table.Memory{}}
		h := &local.Hall{BoxCount: 1, EngineCount: 1, Table: down}
		start(t, h)
		down.SetPlan(func(call table.Call) table.Failure { return table.FailureUnavailable })
		r := send(t, h.CallersURL(0)+chat, strict, question)
		c.Check(r.outcome, quicktest.Equals, "not-run")
		c.Check(r.reason, quicktest.Equals, string(barleystep.ReasonStoreUnavailable))
		c.Check(send(t, h.CallersURL(0)+chat, header(), question).outcome, quicktest.Equals, "done")
		c.Check(h.Engine(0).Runs(), quicktest.HasLen, 1)
	})
	t.Run("with the store hung nothing hangs", func(t *testing.T) {
		c := quicktest.New(t)
		hung := &table.Faulty{Table: &table.Memory{}}
		h := &local.Hall{BoxCount: 1, EngineCount: 1, Table: hung}
		start(t, h)
		hung.SetPlan(func(table.Call) table.Failure { return table.FailureHang })
		r := send(t, h.CallersURL(0)+chat, strict, question)
		c.Check(r.outcome, quicktest.Equals, "not-run")
		c.Check(send(t, h.CallersURL(0)+chat, header(), question).outcome, quicktest.Equals, "done")
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
		c.Check(send(t, h.CallersURL(0)+chat, strict, question).outcome, quicktest.Equals, "done")
		c.Check(h.Engine(0).Runs(), quicktest.HasLen, 1)
	})
	t.Run("a service call is not sent twice", func(t *testing.T) {
		c := quicktest.New(t)
		h := &local.Hall{BoxCount: 2, EngineCount: 1, Objects: &object.Memory{}}
		start(t, h)
		for range 3 {
			r := send(t, h.CallersURL(0)+"/v1/services/portal/topup", strict, "20 lei")
			c.Check(r.outcome, quicktest.Equals, "done")
		}
		c.Check(h.Service().Calls(), quicktest.HasLen, 1)
	})
}

// TestCallerGoesAway checks that an abandoned request frees its engine.
func TestCallerGoesAway(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{BoxCount: 1, EngineCount: 1, Fault: always(standin.FaultHang)}
	start(t, h)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.CallersURL(0)+chat, bytes.NewReader([]byte(question)))
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

// TestPlannedStop checks that a stop cuts no request short.
func TestPlannedStop(t *testing.T) {
	c := quicktest.New(t)
	h := &local.Hall{BoxCount: 2, EngineCount: 1}
	start(t, h)
	done := make(chan reply)
	long := strings.Replace(streamed, `"max_tokens":4`, `"max_tokens":60`, 1)
	go func() { done <- send(t, h.CallersURL(0)+chat, header(), long) }()
	eventually(t, func() bool { return h.Engine(0).UsedTokens() > 0 })
	h.StopBox(0)
	r := <-done
	c.Check(r.outcome, quicktest.Equals, "done")
	c.Check(strings.Count(r.body, "data: "), quicktest.Equals, 62)
}

// eventually waits for a condition that other goroutines bring about.
func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	const patience = 30 * time.Second
	clk := clock.System{}
	for until := clk.Now().Add(patience); clk.Now().Before(until); {
		if cond() {
			return
		}
		clock.Sleep(t.Context(), clk, time.Millisecond)
	}
	t.Fatal("the condition did not come about")
}
