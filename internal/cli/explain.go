package cli

import (
	"context"
	"io"

	"mimosafront/internal/explain"
)

// Explain tells what happened to a request.
var Explain = Command{
	Name: "explain", Summary: "tell from the logs of entry hosts what happened to a request, or where one would go",
	Run: runExplain, Subcommands: []Command{explainWhere},
}

func runExplain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == explainWhere.Name {
		return explainWhere.Run(ctx, args[1:], stdout, stderr)
	}
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
