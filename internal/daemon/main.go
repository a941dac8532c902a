package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// signalBuffer is the capacity of the channel of pending signals.
const signalBuffer = 4

// logFlushTimeout bounds the time to flush the log at exit when its reader is slow.
const logFlushTimeout = time.Second

// Main runs the daemon until a signal stops it. args is the command line without
// the program name. The log goes to stdout; errors in the command line and in the
// settings go to stderr. Main returns the exit code: 0 after a graceful stop, 1
// after a failure, 2 for a wrong command line or invalid settings.
func Main(args []string, stdout, stderr io.Writer, adapter *Adapter) int {
	flags := flag.NewFlagSet("mimosafrontd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file, INI")
	var overrides []settings.Override
	flags.Func("set", "`SECTION.KEY=VALUE` in place of the file's setting; empty values are ignored; may be repeated", func(text string) error {
		o, err := settings.ParseOverride(text)
		overrides = append(overrides, o)
		return err
	})
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: mimosafrontd -settings FILE [-set SECTION.KEY=VALUE ...]")
		return exitUsage
	}
	s, err := settings.Load(*path, overrides...)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logger, err := eventlog.New(eventlog.Config{Writer: stdout, Settings: s.Log})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	defer logger.Close(logFlushTimeout)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := New(Config{Settings: s, Logger: logger, Adapter: adapter}).Run(context.Background(), signals); err != nil {
		logger.Error("ended", "error", err)
		return exitFailed
	}
	return exitOK
}
