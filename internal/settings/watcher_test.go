package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/settings"
)

// TestWatcher checks that settings are reloaded on SIGHUP and on a change of the file without a
// signal, and that invalid ones have no effect.
func TestWatcher(t *testing.T) {
	c := quicktest.New(t)
	name := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) { c.Assert(os.WriteFile(name, []byte(text), 0o600), quicktest.IsNil) }
	write(good)
	s, err := settings.Read(name)
	c.Assert(err, quicktest.IsNil)
	manual := clock.NewManual(time.Unix(1000, 0))
	applied := make(chan settings.Settings, 9)
	w := &settings.Watcher{
		Clock:   manual,
		Current: s,
		Apply:   func(s settings.Settings) { applied <- s },
		Log:     &log.Logger{Level: log.PanicLevel},
		Signals: make(chan os.Signal),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Serve(ctx) }()
	hup := func() { w.Signals <- syscall.SIGHUP }
	hup() // Nothing has changed.
	write(good + "[retries]\nextra = 7.0\n")
	hup()
	c.Check((<-applied).Retries.Extra, quicktest.Equals, 7.0)
	write("zzz")
	hup()
	write(good + "[retries]\nextra = 8.5\n# longer\n")
	for len(applied) == 0 {
		manual.Advance(time.Second)
	}
	c.Check((<-applied).Retries.Extra, quicktest.Equals, 8.5)
	cancel()
	<-done
	c.Check(applied, quicktest.HasLen, 0)
}
