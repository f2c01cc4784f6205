// Package command builds the command line that the programs share.
package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitSettings means that the settings are invalid.
	ExitSettings = 2
)

// Program describes a program.
type Program struct {
	// Name is the name of the program, Short a one-line description.
	Name  string
	Short string
	// Check rejects settings that this program cannot use; it may be nil.
	Check func(settings.Settings) error
	// Run runs the program until ctx ends.
	Run func(ctx context.Context, s settings.Settings, l *log.Logger) error
}

// Main runs the program and returns its exit code. SIGINT and SIGTERM stop it.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := New(p).ExecuteContext(ctx)
	var refused *settingsError
	switch {
	case err == nil:
		return ExitOK
	case eris.As(err, &refused):
		return ExitSettings
	default:
		return ExitFailure
	}
}

// settingsError marks an error as one of the settings.
type settingsError struct{ cause error }

// Error returns what is wrong with the settings.
func (e *settingsError) Error() string { return e.cause.Error() }

// New returns the command of the program with its subcommands.
func New(p Program) *cobra.Command {
	var file string
	root := &cobra.Command{
		Use:          p.Name,
		Short:        p.Short,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := p.readSettings(file)
			if err != nil {
				return err
			}
			limitMemory(s.Limits)
			l := NewLogger(s.Log)
			defer closeLog(l)
			err = p.Run(cmd.Context(), s, l)
			if eris.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
	root.PersistentFlags().StringVar(&file, "config", "barleystep.toml", "settings file")
	root.AddCommand(p.checkCommand(&file), VersionCommand())
	return root
}

// memoryPercent is the part of the memory of a process above which its garbage is collected more often than
// the processor's time suggests. The rest is for what the kernel holds for it.
const memoryPercent = 70

// limitMemory sets the memory that the process tries not to exceed, unless its environment does.
func limitMemory(l settings.Limits) {
	memory := l.Memory()
	if memory == 0 {
		memory = guard.DefaultMemory
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memory * memoryPercent / 100)
	}
}

// readSettings reads and checks the settings file.
func (p Program) readSettings(file string) (settings.Settings, error) {
	s, err := settings.Read(file)
	if err == nil && p.Check != nil {
		err = p.Check(s)
	}
	if err != nil {
		return s, &settingsError{err}
	}
	return s, nil
}

func (p Program) checkCommand(file *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings file and say what is wrong",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := p.readSettings(*file); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", *file)
			return nil
		},
	}
}

// VersionCommand returns the command that prints the version of the program.
func VersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			fmt.Fprintln(cmd.OutOrStdout(), version)
		},
	}
}

// NewLogger returns a logger with the level from the settings. It writes one JSON object per
// line to standard output and never blocks: when the reader falls behind by logQueueLines
// lines, further lines are dropped.
func NewLogger(s settings.Log) *log.Logger {
	level := s.Level
	if level == "" {
		level = "info"
	}
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: log.TimeFormatUnixMs,
		Writer: &lineWriter{AsyncWriter: &log.AsyncWriter{
			ChannelSize:   logQueueLines,
			DiscardOnFull: true,
			Writer:        &log.IOWriter{Writer: os.Stdout},
		}},
	}
}

// lineWriter writes lines and counts the dropped ones.
type lineWriter struct {
	*log.AsyncWriter
	dropped atomic.Int64
}

// WriteEntry queues a line. Callers cannot log the error of a dropped one, so it is counted.
func (w *lineWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.AsyncWriter.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// DroppedLines returns how many lines the logger has dropped.
func DroppedLines(l *log.Logger) int64 {
	if w, ok := l.Writer.(*lineWriter); ok {
		return w.dropped.Load()
	}
	return 0
}

// logQueueLines is how many lines may wait for the reader of standard output, some seconds'
// worth on a busy box.
const logQueueLines = 1024

// closeLog writes the queued lines.
func closeLog(l *log.Logger) {
	if w, ok := l.Writer.(*lineWriter); ok {
		_ = w.Close() // The process exits; the error cannot be logged any more.
	}
}

// defaultStoreTimeout bounds a call to the platform's store if the settings do not. A slow
// store takes some hundred milliseconds to answer.
const defaultStoreTimeout = time.Second

// NewStore returns the client of the platform's store. The settings must be valid.
func NewStore(s settings.Settings, clk barleystep.Clock) *platform.Store {
	return &platform.Store{
		Addr:    strings.TrimPrefix(s.Platform.URL, "http://"),
		Clock:   clk,
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns, MaxResponseHeaderBytes: maxStoreHead}},
		Box:     s.Box.ID,
		Timeout: s.Platform.Timeout.Or(defaultStoreTimeout),
	}
}

// maxIdleStoreConns is how many idle connections to the store are kept: one for each topic that
// is watched, and some for single calls.
const maxIdleStoreConns = 4

// maxStoreHead bounds the head of an answer of the store, in bytes.
const maxStoreHead = 64 << 10
