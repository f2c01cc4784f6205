// Package lint_test checks that the linter's own rules of this project find what they are for.
package lint_test

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"slices"
	"testing"
)

const source = "testdata/reads/reads.go"

// TestUnboundedReads guards against reads from peers without a bound, with which a peer can fill a box's
// memory: the linter finds each that is marked in the source, and no other line.
func TestUnboundedReads(t *testing.T) {
	text, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	var want []int
	for i, line := range bytes.Split(text, []byte("\n")) {
		if bytes.HasSuffix(line, []byte("// want")) {
			want = append(want, i+1)
		}
	}
	if got := findings(t); !slices.Equal(got, want) {
		t.Errorf("lines found: %v, want %v", got, want)
	}
}

// findings returns the lines of the source in which the linter forbids a read.
func findings(t *testing.T) []int {
	cmd := exec.Command("../../build/golangci-lint", "run", "--config", "../../.golangci.yml",
		"--enable-only", "forbidigo", "--output.json.path", "stdout", "--show-stats=false", "./testdata/reads")
	var failure bytes.Buffer
	cmd.Stderr = &failure
	out, err := cmd.Output()
	if cmd.ProcessState.ExitCode() != 1 { // 1 says that there are findings.
		t.Fatalf("%v: %s", err, &failure)
	}
	var report struct {
		Issues []struct{ Pos struct{ Line int } }
	}
	if err := json.Unmarshal(out, &report); err != nil {
		t.Fatal(err)
	}
	lines := make(map[int]struct{})
	for _, i := range report.Issues {
		lines[i.Pos.Line] = struct{}{}
	}
	return slices.Sorted(maps.Keys(lines))
}
