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

// Watcher reads the settings anew when SIGHUP comes or the file changes. Its
// exported fields are set before Serve.
type Watcher struct {
	Clock barleystep.Clock
	// Current are the settings in force.
	Current Settings
	// Apply puts changed settings in force, as far as that is possible without a
	// new start.
	Apply func(Settings)
	Log   *log.Logger
	// Signals delivers SIGHUP; it is made by Serve if it is nil.
	Signals chan os.Signal

	lastVersion fileVersion
}

// stamp tells versions of a file apart.
type fileVersion struct {
	size    int64
	changed time.Time
}

const (
	// lookEvery is how often the file is looked at: it may change without a
	// signal, and a change should be in force within a few seconds.
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
		return w.lastVersion // A file that is being replaced is looked at again.
	}
	return fileVersion{size: info.Size(), changed: info.ModTime()}
}

func (w *Watcher) reload(cause string) {
	w.lastVersion = w.stat()
	s, err := Read(w.Current.file)
	if err != nil {
		w.Log.Error().Str("cause", cause).Err(err).
			Msg(logPrefix + "The new settings were refused. The last good ones stay in force.")
		return
	}
	changed := !reflect.DeepEqual(s, w.Current)
	w.Current = s
	if changed {
		w.Apply(s)
	}
	w.Log.Info().Str("cause", cause).Bool("changed", changed).Msg(logPrefix + "The settings were read anew.")
}
