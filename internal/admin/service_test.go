package admin_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/admin"
	"github.com/barleystep/barleystep/internal/cli"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
)

const base = `
[[class]]
name = "normal"
[[account]]
name = "archive"
team = "cluj"
[[account]]
name = "quotes"
team = "bangkok"
[[model]]
name = "m"
engine_tokens = 10
max_prompt = 10
[[target]]
id = "e1"
hall = "h"
model = "m"
url = "http://127.0.0.1:1"
`

// server is the API over a table with injectable failures.
type server struct {
	url   string
	table *table.Faulty
	dir   string
}

func newServer(t *testing.T) *server {
	c := quicktest.New(t)
	s := &server{table: &table.Faulty{Table: &table.Memory{}}, dir: t.TempDir()}
	store := &version.Store{Table: s.table, Objects: &object.Memory{}, Clock: clock.System{}, Meter: metric.Discard(), SubmitTimeout: 200 * time.Millisecond}
	f, err := config.ParseFile([]byte(base))
	c.Assert(err, quicktest.IsNil)
	d, err := f.Document()
	c.Assert(err, quicktest.IsNil)
	_, err = store.Submit(context.Background(), config.Document{}, version.Submission{ID: "first", Document: d})
	c.Assert(err, quicktest.IsNil)
	follower := &version.Follower{Clock: clock.System{}, Meter: metric.Discard()}
	c.Assert(follower.Load(version.Increment{Version: 1, Changes: d.Entries(), Digest: d.Digest()}), quicktest.IsNil)
	service := &admin.Service{
		Clock: clock.System{}, Store: store, Follower: follower, Boxes: &standin.BoxList{},
		Engines: &engine.Pool{Configuration: follower}, Log: &log.Logger{Level: log.PanicLevel},
		Operators: []settings.Operator{
			{Name: "root", Role: "admin", SHA256: config.HashKey("admin")},
			{Name: "cluj", Role: "team", Team: "cluj", SHA256: config.HashKey("team")},
			{Name: "guest", Role: "viewer", SHA256: config.HashKey("viewer")},
		},
	}
	mux := http.NewServeMux()
	mux.Handle(service.Handler())
	h := httptest.NewServer(mux)
	t.Cleanup(h.Close)
	s.url = h.URL
	return s
}

// run runs the command line and returns its exit code and output.
func (s *server) run(token string, args ...string) (code int, out string) {
	cmd := cli.New()
	var b bytes.Buffer
	cmd.SetOut(&b)
	cmd.SetErr(&b)
	cmd.SetArgs(append([]string{"--server", s.url, "--token", token}, args...))
	err := cmd.ExecuteContext(context.Background())
	if err != nil {
		b.WriteString(err.Error())
	}
	return cli.ExitCode(err), b.String()
}

func (s *server) file(t *testing.T, text string) string {
	name := filepath.Join(s.dir, "file.toml")
	quicktest.Assert(t, os.WriteFile(name, []byte(text), 0o600), quicktest.IsNil)
	return name
}

func TestRefusals(t *testing.T) {
	badPolicy := base + "[[policy]]\nname = \"p\"\nprogram = '{\"weight\": wait}'\n"
	costly := base + "[[policy]]\nname = \"p\"\nprogram = '{\"weight\": [1,2,3,4,5,6,7,8,9].all(a, [1,2,3,4,5,6,7,8,9].all(b, [1,2,3,4,5,6,7,8,9].all(c, [1,2,3,4,5,6,7,8,9].all(d, a*b*c*d > 0)))) ? 1.0 : 2.0}'\n"
	lost := func(c table.Call) table.Failure {
		if c.Write() {
			return table.FailureDelayed
		}
		return table.FailureNone
	}
	down := func(table.Call) table.Failure { return table.FailureUnavailable }
	cases := map[string]struct {
		token string
		args  []string
		text  string
		plan  func(table.Call) table.Failure
		code  int
		says  string
	}{
		"accepted":              {"admin", []string{"config", "submit", "FILE", "--base", "1", "-m", "r"}, base + "[[service]]\nname = \"s\"\n", nil, 0, "accepted as version 2"},
		"stale base":            {"admin", []string{"config", "submit", "FILE", "--base", "0", "-m", "r"}, base, nil, cli.ExitConflict, "Version 1 was accepted first"},
		"unknown base":          {"admin", []string{"config", "submit", "FILE", "--base", "9", "-m", "r"}, base, nil, cli.ExitNotFound, "no such version"},
		"no token":              {"", []string{"status"}, "", nil, cli.ExitNotAllowed, "valid token"},
		"viewer may not change": {"viewer", []string{"target", "drain", "e1", "-m", "r"}, "", nil, cli.ExitNotAllowed, "may look"},
		"team may not drain":    {"team", []string{"target", "drain", "e1", "-m", "r"}, "", nil, cli.ExitNotAllowed, "is not one"},
		"team's own account":    {"team", []string{"key", "make", "archive", "-m", "r"}, "", nil, 0, "bs-"},
		"other team's account":  {"team", []string{"key", "make", "quotes", "-m", "r"}, "", nil, cli.ExitNotAllowed, `belongs to team "bangkok"`},
		"team takes an account": {"team", []string{"config", "submit", "FILE", "--base", "1", "-m", "r"}, strings.Replace(base, "bangkok", "cluj", 1), nil, cli.ExitNotAllowed, "belongs to"},
		"unknown target":        {"admin", []string{"target", "drain", "e9", "-m", "r"}, "", nil, cli.ExitNotFound, `no target "e9"`},
		"unknown account":       {"admin", []string{"key", "make", "nobody", "-m", "r"}, "", nil, cli.ExitNotFound, `no account "nobody"`},
		"unknown key":           {"admin", []string{"key", "revoke", "archive", "7", "-m", "r"}, "", nil, cli.ExitNotFound, `no key "7"`},
		"unknown class":         {"viewer", []string{"policy", "explain", "archive", "gold"}, "", nil, cli.ExitNotFound, `no class "gold"`},
		"bad policy":            {"admin", []string{"config", "check", "FILE"}, badPolicy, nil, cli.ExitInvalid, "undeclared reference to 'wait'"},
		"costly policy":         {"admin", []string{"config", "check", "FILE"}, costly, nil, cli.ExitInvalid, "cost limit"},
		"unknown name":          {"admin", []string{"config", "check", "FILE"}, strings.Replace(base, `model = "m"`, `model = "x"`, 1), nil, cli.ExitInvalid, `model "x" does not exist`},
		"unknown key in file":   {"admin", []string{"config", "check", "FILE"}, base + "colour = 1\n", nil, cli.ExitInvalid, "missing"},
		"answer lost":           {"admin", []string{"config", "submit", "FILE", "--base", "1", "-m", "r"}, base + "[[service]]\nname = \"s\"\n", lost, cli.ExitUnknown, "Submit again with the same id"},
		"store down":            {"admin", []string{"target", "drain", "e1", "-m", "r"}, "", down, cli.ExitUnavailable, "can't be reached"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			s.table.SetPlan(tc.plan)
			args := make([]string, len(tc.args))
			for i, a := range tc.args {
				args[i] = strings.Replace(a, "FILE", s.file(t, tc.text), 1)
			}
			code, out := s.run(tc.token, args...)
			quicktest.Check(t, code, quicktest.Equals, tc.code, quicktest.Commentf("%s", out))
			quicktest.Check(t, out, quicktest.Contains, tc.says)
		})
	}
}

// TestLostAnswerIsSettled checks that submitting again with the same id, as an operator
// does after a lost answer, returns the accepted version and creates no other.
func TestLostAnswerIsSettled(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(t)
	file := s.file(t, base+"[[service]]\nname = \"s\"\n")
	args := []string{"config", "submit", file, "--base", "1", "-m", "r", "--id", "mine"}
	code, _ := s.run("admin", args...)
	c.Assert(code, quicktest.Equals, 0)
	code, out := s.run("admin", args...)
	c.Check(code, quicktest.Equals, 0)
	c.Check(out, quicktest.Contains, "version 2")
	code, _ = s.run("admin", "config", "restore", "1", "-m", "back")
	c.Check(code, quicktest.Equals, 0)
	_, out = s.run("viewer", "config", "history", "-o", "json")
	c.Check(strings.Count(out, `"version":`), quicktest.Equals, 3)
	_, out = s.run("viewer", "config", "diff", "2", "3")
	c.Check(out, quicktest.Contains, "service")
}
