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

// signalBuffer bounds the signals that wait to be handled.
const signalBuffer = 4

// logFlushTimeout bounds the wait for a slow reader of the log at the end.
const logFlushTimeout = time.Second

// Main runs the daemon with its command line, without the program's name, until
// a signal stops it. It logs to stdout; faults of the command line and of the
// settings go to stderr. It returns the exit code: 0 after a stop, 1 for a failure,
// 2 for a wrong command line or faulty settings.
func Main(args []string, stdout, stderr io.Writer, adapter *Adapter) int {
	flags := flag.NewFlagSet("mimosafrontd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file, INI")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "usage: mimosafrontd -settings FILE")
		return exitUsage
	}
	s, err := settings.Load(*path)
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
