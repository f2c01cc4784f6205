package main_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/platform/platformtest"
)

const settingsFile = `
[box]
id = "%s"
hall = "h"
[listen]
callers = "%s"
peers = "%s"
[platform]
url = "%s"
[limits]
notice = "10ms"
[log]
level = "error"
`

// fixture is a set of boxes that run as processes, with stand-ins in the test's process.
type fixture struct {
	engine  *standin.Engine
	callers []string
	boxes   []*exec.Cmd
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func newFixture(t *testing.T, boxes int) *fixture {
	c := quicktest.New(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "barleystep-entry")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", out))
	r := &fixture{engine: &standin.Engine{Clock: clock.System{}, Step: 20 * time.Millisecond}}
	engines := httptest.NewServer(r.engine)
	t.Cleanup(engines.Close)
	p := &platformtest.Store{Clock: clock.System{}}
	platforms := httptest.NewServer(p)
	t.Cleanup(platforms.Close)
	submitConfiguration(t, platforms.URL, engines.URL)
	var list []barleystep.Box
	for i := range boxes {
		id, callers, peers := fmt.Sprint("b", i), freeAddr(t), freeAddr(t)
		list = append(list, barleystep.NewBox(barleystep.BoxID(id), "h", peers, false))
		file := filepath.Join(dir, id+".toml")
		text := fmt.Sprintf(settingsFile, id, callers, peers, platforms.URL)
		c.Assert(os.WriteFile(file, []byte(text), 0o600), quicktest.IsNil)
		cmd := exec.CommandContext(context.Background(), binary, "--config", file)
		cmd.Stderr = os.Stderr
		r.callers = append(r.callers, "http://"+callers)
		r.boxes = append(r.boxes, cmd)
	}
	c.Assert(p.SetBoxes(list...), quicktest.IsNil)
	for i, cmd := range r.boxes {
		c.Assert(cmd.Start(), quicktest.IsNil)
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		eventually(t, func() bool { return r.post(t, i, 1, nil).outcome == "done" })
	}
	return r
}

func submitConfiguration(t *testing.T, storeURL, engineURL string) {
	c := quicktest.New(t)
	d, err := config.File{
		Accounts: []config.Account{{Name: "a", Keys: []config.Key{{ID: "1", SHA256: config.HashKey("k")}}}},
		Classes:  []config.Class{{Name: "normal"}},
		Models:   []config.Model{{Name: "m", EngineTokens: 100_000, MaxPrompt: 1_000}},
		Targets:  []config.Target{{ID: "e", Hall: "h", Model: "m", URL: engineURL}},
	}.Document()
	c.Assert(err, quicktest.IsNil)
	client := command.NewStore(settings.Settings{Platform: settings.Platform{URL: storeURL}}, clock.System{})
	store := &version.Store{Table: client, Objects: client, Clock: clock.System{}, Meter: metric.Discard()}
	_, err = store.Submit(t.Context(), config.Document{}, version.Submission{ID: "first", Document: d})
	c.Assert(err, quicktest.IsNil)
}

// reply is the answer that a caller received.
type reply struct {
	outcome string
	reason  string
	text    string
	err     error
}

func (r *fixture) post(t *testing.T, box, tokens int, header http.Header) reply {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.callers[box]+"/v1/chat/completions", strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{
		resp.Header.Get("Barleystep-Outcome") + resp.Trailer.Get("Barleystep-Outcome"),
		resp.Header.Get("Barleystep-Reason"), string(text), err,
	}
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	clk := clock.System{}
	for until := clk.Now().Add(20 * time.Second); clk.Now().Before(until); {
		if cond() {
			return
		}
		clock.Sleep(t.Context(), clk, 10*time.Millisecond)
	}
	t.Fatal("timed out waiting for the condition")
}

// waitForRun waits until the engine has started another attempt.
func (r *fixture) waitForRun(t *testing.T, before int) {
	eventually(t, func() bool { return len(r.engine.Runs()) > before })
}

// TestKilledBox kills a box while it serves a request that must not be repeated. The caller
// must not take the incomplete answer for a complete one, and a retry at another box must not
// run the request again.
func TestKilledBox(t *testing.T) {
	c := quicktest.New(t)
	r := newFixture(t, 2)
	before := len(r.engine.Runs())
	nonRepeatable := http.Header{"Barleystep-Repeatable": {"no"}, "Idempotency-Key": {"invoice"}, "Barleystep-Time-Limit": {"2s"}}
	first := make(chan reply)
	go func() { first <- r.post(t, 0, 80, nonRepeatable) }()
	r.waitForRun(t, before)
	c.Assert(r.boxes[0].Process.Kill(), quicktest.IsNil)
	broken := <-first
	c.Check(broken.err, quicktest.IsNotNil)
	c.Check(strings.Contains(broken.text, "[DONE]"), quicktest.IsFalse)
	retry := r.post(t, 1, 80, nonRepeatable)
	c.Check(retry.reason, quicktest.Equals, string(barleystep.ReasonStillRunning), quicktest.Commentf("%+v", retry))
	c.Check(r.post(t, 1, 2, nil).outcome, quicktest.Equals, "done", quicktest.Commentf("others are served"))
	eventually(t, func() bool { return r.post(t, 1, 80, nonRepeatable).outcome == "unknown" })
	c.Check(len(r.engine.Runs())-before, quicktest.Equals, 2)
}

// TestFrozenBox suspends a box's process during a stream and resumes it.
func TestFrozenBox(t *testing.T) {
	c := quicktest.New(t)
	r := newFixture(t, 1)
	before := len(r.engine.Runs())
	result := make(chan reply)
	go func() { result <- r.post(t, 0, 40, nil) }()
	r.waitForRun(t, before)
	c.Assert(r.boxes[0].Process.Signal(syscall.SIGSTOP), quicktest.IsNil)
	eventually(t, func() bool { return r.engine.UsedTokens() == 0 })
	c.Assert(r.boxes[0].Process.Signal(syscall.SIGCONT), quicktest.IsNil)
	got := <-result
	c.Check(got.err, quicktest.IsNil)
	c.Check(got.outcome, quicktest.Equals, "done")
	c.Check(strings.Count(got.text, "data: "), quicktest.Equals, 42)
}

// TestStoppedBox stops a box's process during a stream. The process must exit after the stream
// has ended and not abort it.
func TestStoppedBox(t *testing.T) {
	c := quicktest.New(t)
	r := newFixture(t, 1)
	before := len(r.engine.Runs())
	result := make(chan reply)
	go func() { result <- r.post(t, 0, 40, nil) }()
	r.waitForRun(t, before)
	c.Assert(r.boxes[0].Process.Signal(syscall.SIGTERM), quicktest.IsNil)
	got := <-result
	c.Check(got.outcome, quicktest.Equals, "done")
	c.Check(r.boxes[0].Wait(), quicktest.IsNil)
}
