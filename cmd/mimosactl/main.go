// Command mimosactl is the command-line tool of mimosafront for operators and
// callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mimosafront/internal/cli"
	"mimosafront/platform/standin/operator"
)

var commands = []cli.Command{
	cli.Demo,
	cli.Call,
	cli.Status,
	cli.Explain,
	cli.Policy,
	cli.Settings,
	cli.Keygen,
	cli.Emulate,
	cli.Load,
	cli.Report,
	cli.Experiment,
	cli.Soak(operator.New),
	cli.Capacity,
	cli.Docs,
	cli.Version,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, append(commands, cli.Completion(commands)), os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
