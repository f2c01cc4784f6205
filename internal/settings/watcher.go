package settings

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
)

// Watcher reloads the settings on SIGHUP or when the file changes. Its exported fields are set
// before Serve.
type Watcher struct {
	Clock barleystep.Clock
	// Current holds the settings in force.
	Current Settings
	// Apply applies changed settings, as far as that is possible without a restart.
	Apply func(Settings)
	Log   *log.Logger
	// Signals delivers SIGHUP; Serve creates it if it is nil.
	Signals chan os.Signal

	lastVersion fileVersion
}

// fileVersion distinguishes versions of the file.
type fileVersion struct {
	size    int64
	changed time.Time
}

const (
	// pollInterval is how often the file is checked for changes: a change must take effect
	// within a few seconds, also without a signal.
	pollInterval = 2 * time.Second

	logPrefix = "settings: "
)

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	if w.Signals == nil {
		w.Signals = make(chan os.Signal, 1)
		signal.Notify(w.Signals, syscall.SIGHUP)
		defer signal.Stop(w.Signals)
	}
	w.lastVersion = w.stat()
	for {
		timer := w.Clock.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-w.Signals:
			timer.Stop()
			w.reload("signal")
		case <-timer.C():
			if now := w.stat(); now != w.lastVersion {
				w.reload("change")
			}
		}
	}
}

func (w *Watcher) stat() fileVersion {
	info, err := os.Stat(w.Current.file)
	if err != nil {
		return w.lastVersion // The file may be about to be replaced; it is checked again.
	}
	return fileVersion{size: info.Size(), changed: info.ModTime()}
}

// reload reads the file and applies the settings if they have changed.
func (w *Watcher) reload(cause string) {
	w.lastVersion = w.stat()
	s, err := Read(w.Current.file)
	if err != nil {
		w.Log.Error().Str("cause", cause).Err(err).
			Msg(logPrefix + "New settings rejected. The last valid ones stay in force.")
		return
	}
	changed := !reflect.DeepEqual(s, w.Current)
	w.Current = s
	if changed {
		w.Apply(s)
	}
	w.Log.Info().Str("cause", cause).Bool("changed", changed).Msg(logPrefix + "Settings reloaded.")
}
