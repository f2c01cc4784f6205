// Package command builds the command line that all programs share.
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
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitSettings means that the settings were refused.
	ExitSettings = 2
)

// Program describes one program.
type Program struct {
	// Name is the program's name, Short one line about it.
	Name  string
	Short string
	// Check refuses settings that the program in particular can't use; may be
	// nil.
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

// VersionCommand returns the command that prints the program's version.
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

// Logger returns the logger that the settings ask for. It writes one JSON
// object a line to standard output and never waits for it: when the reader falls
// behind by logBuffer lines, further lines are dropped.
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

// lineWriter writes lines and counts those that were dropped.
type lineWriter struct {
	*log.AsyncWriter
	dropped atomic.Int64
}

// WriteEntry queues a line. A dropped one has no error that anybody could log.
func (w *lineWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.AsyncWriter.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// Dropped returns how many lines the logger has dropped.
func DroppedLines(l *log.Logger) int64 {
	if w, ok := l.Writer.(*lineWriter); ok {
		return w.dropped.Load()
	}
	return 0
}

// logBuffer is how many lines may wait for the reader of standard output: some
// seconds' worth on a busy box.
const logQueueLines = 1024

// closeLog writes the lines that still wait.
func closeLog(l *log.Logger) {
	if w, ok := l.Writer.(*lineWriter); ok {
		_ = w.Close() // The process ends; there is nobody left to tell.
	}
}

// storeTimeout bounds a call to the platform's store if the settings do not. A
// slow store takes some hundred milliseconds for an answer.
const defaultStoreTimeout = time.Second

// Platform returns the client of the platform's store. The settings were checked.
func NewStore(s settings.Settings, clk barleystep.Clock) *platform.Store {
	return &platform.Store{
		Addr:    strings.TrimPrefix(s.Platform.URL, "http://"),
		Clock:   clk,
		HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns}},
		Box:     s.Box.ID,
		Timeout: s.Platform.Timeout.Or(defaultStoreTimeout),
	}
}

// storeConnections is how many connections to the store are kept: one for each
// topic that is followed, and some for single calls.
const maxIdleStoreConns = 4
