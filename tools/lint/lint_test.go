// Package lint_test checks that the linter's own rules of this project find what they are for.
package lint_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

// TestForbidden guards against reads from peers without a bound, with which a peer can fill a box's memory,
// and locks whose order is not checked: the linter finds each line that is marked in the sources, and no
// other one.
func TestForbidden(t *testing.T) {
	sources, err := filepath.Glob("testdata/forbidden/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, name := range sources {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if bytes.HasSuffix(line, []byte("// want")) {
				want = append(want, place(name, i+1))
			}
		}
	}
	slices.Sort(want)
	if got := findings(t); !slices.Equal(got, want) {
		t.Errorf("lines found: %v, want %v", got, want)
	}
}

// place names a line of a source.
func place(name string, line int) string { return fmt.Sprintf("%s:%03d", filepath.Base(name), line) }

// findings returns the lines of the sources that the linter forbids.
func findings(t *testing.T) []string {
	cmd := exec.Command("../../build/golangci-lint", "run", "--allow-parallel-runners", "--config", "../../.golangci.yml",
		"--enable-only", "forbidigo", "--output.json.path", "stdout", "--show-stats=false", "./testdata/forbidden")
	var failure bytes.Buffer
	cmd.Stderr = &failure
	out, err := cmd.Output()
	if cmd.ProcessState.ExitCode() != 1 { // 1 says that there are findings.
		t.Fatalf("%v: %s", err, &failure)
	}
	var report struct {
		Issues []struct {
			Pos struct {
				Filename string
				Line     int
			}
		}
	}
	if err := json.Unmarshal(out, &report); err != nil {
		t.Fatal(err)
	}
	places := make(map[string]struct{})
	for _, i := range report.Issues {
		places[place(i.Pos.Filename, i.Pos.Line)] = struct{}{}
	}
	return slices.Sorted(maps.Keys(places))
}
