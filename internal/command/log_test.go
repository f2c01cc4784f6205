package command_test

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/settings"
)

// TestDropped checks that the logger neither waits for a reader that does not read
// nor forgets what it dropped.
func TestDroppedLines(t *testing.T) {
	c := quicktest.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, quicktest.IsNil)
	stdout := os.Stdout
	os.Stdout = writer
	l := command.NewLogger(settings.Log{})
	os.Stdout = stdout
	t.Cleanup(func() {
		reader.Close() // The writer's last write fails, so that it ends.
		writer.Close()
	})
	c.Check(command.DroppedLines(l), quicktest.Equals, int64(0))
	for command.DroppedLines(l) == 0 { // The pipe and the queue are full at some time.
		l.Info().Msg("Nobody reads this.")
	}
}
