package command_test

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/settings"
)

// TestDroppedLines checks that the logger does not block when nothing reads its output, and
// that it counts the lines that it drops.
func TestDroppedLines(t *testing.T) {
	c := quicktest.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, quicktest.IsNil)
	stdout := os.Stdout
	os.Stdout = writer
	l := command.NewLogger(settings.Log{})
	os.Stdout = stdout
	t.Cleanup(func() {
		reader.Close() // The writer's last write fails, so that its goroutine ends.
		writer.Close()
	})
	c.Check(command.DroppedLines(l), quicktest.Equals, int64(0))
	for command.DroppedLines(l) == 0 { // Ends once the pipe and the queue are full.
		l.Info().Msg("Nobody reads this.")
	}
}
