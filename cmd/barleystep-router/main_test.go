package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/command"
)

// runVariable is set for processes of the test binary that are to be the program itself.
const runVariable = "BARLEYSTEP_TEST_RUN_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// initialStatus is what the kernel says of the process before main, or TestMain, is reached.
var initialStatus, _ = os.ReadFile("/proc/self/status") // Empty elsewhere than on Linux.

// TestReloadBeforeMain guards against a router that is ended by a request to reload its settings that
// comes before main is reached.
func TestReloadBeforeMain(t *testing.T) {
	c := quicktest.New(t)
	_, after, found := strings.Cut(string(initialStatus), "SigIgn:")
	c.Assert(found, quicktest.IsTrue)
	line, _, _ := strings.Cut(after, "\n")
	ignored, err := strconv.ParseUint(strings.TrimSpace(line), 16, 64)
	c.Assert(err, quicktest.IsNil)
	c.Check(ignored>>(syscall.SIGHUP-1)&1, quicktest.Equals, uint64(1))
}

// TestReloadWhileStarting guards against a router that is ended by a request to reload its settings
// that comes before it watches them.
func TestReloadWhileStarting(t *testing.T) {
	c := quicktest.New(t)
	file := filepath.Join(t.TempDir(), "settings.toml")
	c.Assert(syscall.Mkfifo(file, 0o600), quicktest.IsNil)
	router := exec.CommandContext(t.Context(), os.Args[0], "--config", file)
	router.Env = append(os.Environ(), runVariable+"=1")
	c.Assert(router.Start(), quicktest.IsNil)
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // The router reads its settings once this returns.
	c.Assert(err, quicktest.IsNil)
	c.Assert(router.Process.Signal(syscall.SIGHUP), quicktest.IsNil)
	_, err = settings.WriteString("not settings")
	c.Assert(err, quicktest.IsNil)
	c.Assert(settings.Close(), quicktest.IsNil)
	_ = router.Wait() // It ends with a code that tells of its settings.
	c.Check(router.ProcessState.ExitCode(), quicktest.Equals, command.ExitSettings, quicktest.Commentf("%s", router.ProcessState))
}
