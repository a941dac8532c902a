package cli

import (
	"context"
	"io"

	"mimosafront/internal/explain"
)

// Explain tells what happened to a request.
var Explain = Command{Name: "explain", Summary: "tell from the logs of entry hosts what happened to a request", Run: runExplain}

func runExplain(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("explain", "REQUEST-ID LOG-FILE...", stderr)
	if code, ok := parse(flags, args, 2, -1); !ok {
		return code
	}
	story, err := explain.Read(flags.Arg(0), flags.Args()[1:])
	if err != nil {
		return fail(stderr, err)
	}
	story.Print(stdout)
	if len(story.Entries) == 0 {
		return ExitFailed
	}
	return ExitOK
}
