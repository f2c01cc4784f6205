// Package deploy_test checks that the program starts from the deploy file and the template however they are
// filled.
package deploy_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	templateFile = "settings.toml.tmpl"
	deployFile   = "system.toml"
	// node is the name of the machine that the process runs on.
	node = "edge-1"
)

// values returns what those who fill the template without the platform put into its gaps. They refuse any
// other gap, so that a value from the platform that is new belongs in the role's environment in the deploy file.
func values(t *testing.T, store string) map[string]string {
	return map[string]string{
		"{{node|json}}":              `"` + node + `"`,
		"{{zone|json}}":              `"h"`,
		"{{limits.cpu_share}}":       "0.4",
		"{{limits.link_mbps}}":       "1000.0",
		"{{listen.front|json}}":      `"` + freeAddr(t) + `"`,
		"{{listen.ready|json}}":      `"` + freeAddr(t) + `"`,
		"{{listen.control|json}}":    `"` + freeAddr(t) + `"`,
		"{{ip}}:9464":                freeAddr(t),
		"{{seeds|json}}":             "[]",
		"{{platform.address}}":       store,
		"{{bounds.config_apply_ms}}": "2000",
		"{{bounds.drain_ms}}":        "2000",
		"{{#bounds.revoke_strict}}":  "",
		"{{bounds.revoke_ms}}":       "5000",
		"{{/bounds.revoke_strict}}":  "",
		"{{bounds.budget_ratio}}":    "0.2",
		"{{bounds.budget_extra}}":    "106",
		"{{bounds.budget_window_s}}": "10",
		"{{bounds.grace_s}}":         "8",
	}
}

var gap = regexp.MustCompile(`\{\{.*?\}\}`)

// TestTemplateGaps guards against a gap in the template that those who fill it by hand do not know, so that
// the program does not start for them.
func TestTemplateGaps(t *testing.T) {
	left := gap.FindAllString(fill(t, "127.0.0.1:1"), -1)
	quicktest.Check(t, left, quicktest.HasLen, 0, quicktest.Commentf("gaps that are new"))
}

// role is a role of the deploy file.
type role struct {
	Run string            `toml:"run"`
	Env map[string]string `toml:"env"`
}

// router returns the role of the router.
func router(t *testing.T) role {
	text, err := os.ReadFile(deployFile)
	quicktest.Assert(t, err, quicktest.IsNil)
	var file struct {
		Roles map[string]role `toml:"roles"`
	}
	quicktest.Assert(t, toml.Unmarshal(text, &file), quicktest.IsNil)
	return file.Roles["router"]
}

// limits are what the platform fills the gaps of the deploy file with.
var limits = map[string]string{
	"{{limits.cores}}": "1", "{{limits.memory_mb}}": "300", "{{limits.max_fds}}": "2000",
}

// filledEnv returns the environment of the role, its gaps filled.
func (r role) filledEnv(values map[string]string) (env []string) {
	for name, text := range r.Env {
		env = append(env, name+"="+gap.ReplaceAllStringFunc(text, func(g string) string { return values[g] }))
	}
	return env
}

// started is what the program logs of its limits when it starts.
type started struct {
	Box         string `json:"box"`
	Memory      int64  `json:"memory"`
	Descriptors int    `json:"descriptors"`
}

// TestStartsFromDeployFile guards against limits of the machine that do not reach the program, and against a
// program that starts with the platform's environment only.
func TestStartsFromDeployFile(t *testing.T) {
	c := quicktest.New(t)
	program := filepath.Join(t.TempDir(), "barleystep-router")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/barleystep-router").CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", out))
	r := router(t)
	words := strings.Fields(r.Run)
	c.Assert(words[0], quicktest.Equals, "target/barleystep-router")
	c.Assert(words[1:], quicktest.DeepEquals, []string{"--config", "/etc/barleystep/settings.toml"})
	cases := map[string]struct {
		env  []string
		want started
	}{
		"platform":         {r.filledEnv(limits), started{node, 300_000_000, 2000}},
		"values left out":  {r.filledEnv(map[string]string{"{{limits.cores}}": "1"}), started{node, 256_000_000, 0}},
		"filled by hand":   {[]string{"GOGC=200", "GOMAXPROCS=1"}, started{node, 256_000_000, 0}},
		"no environment":   {nil, started{node, 256_000_000, 0}},
		"stated by a user": {[]string{settings.MemoryVariable + "=128"}, started{node, 128_000_000, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, start(t, program, tc.env), quicktest.Equals, tc.want)
		})
	}
}

// start starts the program from the template, and returns what it logs first.
func start(t *testing.T, program string, env []string) (s started) {
	c := quicktest.New(t)
	store := httptest.NewServer(&platformtest.Store{Clock: clock.System{}})
	t.Cleanup(store.Close)
	file := filepath.Join(t.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(file, []byte(fill(t, store.Listener.Addr().String())), 0o600), quicktest.IsNil)
	cmd := exec.CommandContext(t.Context(), program, "--config", file)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	log, err := cmd.StdoutPipe()
	c.Assert(err, quicktest.IsNil)
	c.Assert(cmd.Start(), quicktest.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // It was killed.
	})
	lines := bufio.NewScanner(log)
	c.Assert(lines.Scan(), quicktest.IsTrue)
	c.Assert(json.Unmarshal(lines.Bytes(), &s), quicktest.IsNil)
	return s
}

// fill returns the template filled without the platform.
func fill(t *testing.T, store string) string {
	text, err := os.ReadFile(templateFile)
	quicktest.Assert(t, err, quicktest.IsNil)
	var pairs []string
	for g, value := range values(t, store) {
		pairs = append(pairs, g, value)
	}
	return strings.NewReplacer(pairs...).Replace(string(text))
}

// freeAddr returns a free address.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer l.Close()
	return l.Addr().String()
}
