package cli

import (
	"context"
	"fmt"
	"io"

	"mimosafront/internal/demo"
)

// Demo runs both associations' example policies against stand-ins in one
// process.
var Demo = Command{
	Name:    "demo",
	Summary: "run an entry host with example policies and stand-in backend servers",
	Run:     runDemo,
}

func runDemo(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("demo", "[-serve]", stderr)
	serve := flags.Bool("serve", false, "stay up after the requests and print commands to try")
	if code, ok := parse(flags, args, 0, 0); !ok {
		return code
	}
	if err := demo.Run(ctx, demo.Options{Serve: *serve, Out: stdout}); err != nil {
		fmt.Fprintln(stderr, "mimosactl demo:", err)
		return ExitFailed
	}
	return ExitOK
}
