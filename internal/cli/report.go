package cli

import (
	"context"
	"fmt"
	"io"

	"mimosafront/internal/load"
	"mimosafront/internal/report"
)

// Report shows the result of a load run.
var Report = Command{Name: "report", Summary: "show the result of a load run as text and plots", Run: runReport}

func runReport(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("report", "[-plots DIR] [-without FILE] RESULT", stderr)
	plots := flags.String("plots", "", "also write PNG plots into this `directory`")
	without := flags.String("without", "", "compare with this `result` of a run that left out groups")
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	result, err := load.ReadResult(flags.Arg(0))
	if err != nil {
		return fail(stderr, err)
	}
	if err := report.Text(stdout, result); err != nil {
		return fail(stderr, err)
	}
	if *without != "" {
		other, err := load.ReadResult(*without)
		if err != nil {
			return fail(stderr, err)
		}
		fmt.Fprintln(stdout)
		if err := report.Comparison(stdout, result, other); err != nil {
			return fail(stderr, err)
		}
	}
	if *plots == "" {
		return ExitOK
	}
	prefix := result.Scenario + "-"
	if result.Label != "" {
		prefix += result.Label + "-"
	}
	if err := report.Plots(result, *plots, prefix); err != nil {
		return fail(stderr, err)
	}
	return ExitOK
}
