package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"mimosafront/internal/soak"
)

// Soak runs a fleet under many faults at once.
var Soak = Command{Name: "soak", Summary: "run daemons that it starts under many faults at once, and check what must always hold", Run: runSoak}

const (
	defaultSoakDuration = time.Minute
	maxSoakDuration     = 30 * time.Minute
	defaultSoakRequests = 100_000
)

func runSoak(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("soak", "-daemon PATH", stderr)
	daemon := flags.String("daemon", "", "`path` of mimosafrontd")
	seed := flags.Uint64("seed", 0, "`seed` of the schedule; 0 draws one")
	duration := flags.Duration("duration", defaultSoakDuration, "`time` in which faults come, at most 30m")
	requests := flags.Int("requests", defaultSoakRequests, "most `requests` to models")
	directory := flags.String("out", "", "`directory` for settings and logs; empty takes a temporary one")
	if code, ok := parse(flags, args, 0, 0); !ok {
		return code
	}
	if *daemon == "" || *duration <= 0 || *duration > maxSoakDuration || *requests < 1 || *requests > 10*defaultSoakRequests {
		flags.Usage()
		return ExitUsage
	}
	config := soak.Config{Seed: *seed, Duration: *duration, MaxRequests: *requests, Output: stdout}
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	var err error
	if config.Daemon, config.Directory, err = prepareRun(*daemon, *directory, "soak"); err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "seed %d, %s, logs in %s\n", config.Seed, config.Duration, config.Directory)
	result, err := soak.Run(ctx, config)
	if err != nil {
		return fail(stderr, err)
	}
	result.Write(stdout, config.Directory)
	if len(result.Violations) > 0 {
		fmt.Fprintf(stdout, "\n%d violations; the schedule again: mimosactl soak -daemon %s -seed %d -duration %s\n",
			len(result.Violations), *daemon, config.Seed, config.Duration)
		return ExitFailed
	}
	return ExitOK
}
