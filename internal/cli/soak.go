package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"mimosafront/internal/inifile"
	"mimosafront/internal/soak"
)

// Soak returns the command that runs a fleet under many faults at once.
// newStore makes the store for runs that read one.
func Soak(newStore func() soak.Store) Command {
	run := func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		return runSoak(ctx, args, stdout, stderr, newStore)
	}
	return Command{Name: "soak", Summary: "run daemons that it starts under many faults at once, and check what must always hold", Run: run}
}

const (
	defaultSoakDuration = time.Minute
	maxSoakDuration     = 30 * time.Minute
	defaultSoakRequests = 100_000
	// maxSoakSeeds bounds the runs of one command.
	maxSoakSeeds = 1000
)

// soakOptions are those of the command line.
type soakOptions struct {
	daemon     string
	directory  string
	duration   time.Duration
	requests   int
	faults     []int
	shrink     int
	regression bool
	cases      []soak.Case
	// store selects the platform's store in place of the configuration service.
	store    bool
	newStore func() soak.Store
}

func runSoak(ctx context.Context, args []string, stdout, stderr io.Writer, newStore func() soak.Store) int {
	o, code, ok := parseSoak(args, stderr)
	if !ok {
		return code
	}
	if o.newStore = newStore; !o.store {
		o.newStore = func() soak.Store { return nil }
	}
	var err error
	if o.daemon, o.directory, err = prepareRun(o.daemon, o.directory, "soak"); err != nil {
		return fail(stderr, err)
	}
	failed := 0
	for i, c := range o.cases {
		result, err := o.run(ctx, stdout, c, o.faults, strconv.Itoa(i))
		if err != nil {
			return fail(stderr, err)
		}
		if len(result.Violations) == 0 {
			continue
		}
		failed++
		if err := o.explain(ctx, stdout, c, result, strconv.Itoa(i)); err != nil {
			return fail(stderr, err)
		}
	}
	if len(o.cases) > 1 {
		fmt.Fprintf(stdout, "\n%d of %d seeds with violations\n", failed, len(o.cases))
	}
	if failed > 0 {
		return ExitFailed
	}
	return ExitOK
}

// parseSoak reads the command line. It reports whether the command should go on, and
// the exit code if not.
func parseSoak(args []string, stderr io.Writer) (o *soakOptions, code int, ok bool) {
	o = &soakOptions{}
	flags := newFlags("soak", "-daemon PATH", stderr)
	flags.StringVar(&o.daemon, "daemon", "", "`path` of mimosafrontd")
	seed := flags.Uint64("seed", 0, "`seed` of the schedule; 0 draws one")
	seeds := flags.String("seeds", "", "several `seeds`, one run each, as in 3,7,100-149")
	flags.BoolVar(&o.regression, "regression", false, "run the seeds that failed once")
	flags.DurationVar(&o.duration, "duration", defaultSoakDuration, "`time` in which faults come, at most 30m")
	flags.IntVar(&o.requests, "requests", defaultSoakRequests, "most `requests` to models")
	flags.StringVar(&o.directory, "out", "", "`directory` for settings and logs; empty takes a temporary one")
	flags.BoolVar(&o.store, "store", false, "let the hosts read the store of the users' platform, with evacuations, cold servers and its return from earlier copies")
	faults := flags.String("faults", "", "`numbers` of the faults of the schedule to inject, as in 0,4-6; empty injects all")
	flags.IntVar(&o.shrink, "shrink", 0, "most `runs` to look for fewer faults with which a seed still fails")
	if code, ok := parse(flags, args, 0, 0); !ok {
		return nil, code, false
	}
	if o.daemon == "" || o.duration <= 0 || o.duration > maxSoakDuration || o.requests < 1 || o.requests > 10*defaultSoakRequests {
		flags.Usage()
		return nil, ExitUsage, false
	}
	if err := o.choose(*seed, *seeds, *faults); err != nil {
		fmt.Fprintln(stderr, err)
		return nil, ExitUsage, false
	}
	return o, ExitOK, true
}

// choose takes the runs that the options name.
func (o *soakOptions) choose(seed uint64, seeds, faults string) error {
	var err error
	if faults != "" {
		if o.faults, err = parseNumbers(faults); err != nil {
			return fmt.Errorf("-faults: %w", err)
		}
	}
	if o.regression {
		o.cases = soak.Regression
		return nil
	}
	if seeds == "" {
		if seed == 0 {
			seed = uint64(time.Now().UnixNano())
		}
		o.cases = []soak.Case{{Seed: seed, Duration: o.duration}}
		return nil
	}
	numbers, err := parseNumbers(seeds)
	if err != nil {
		return fmt.Errorf("-seeds: %w", err)
	}
	for _, n := range numbers {
		o.cases = append(o.cases, soak.Case{Seed: uint64(n), Duration: o.duration})
	}
	return nil
}

// parseNumbers reads numbers and ranges, separated by commas.
func parseNumbers(text string) ([]int, error) {
	var numbers []int
	for _, part := range inifile.SplitList(text) {
		low, high, isRange := strings.Cut(part, "-")
		from, err := strconv.Atoi(low)
		if err != nil {
			return nil, fmt.Errorf("%q is no number", part)
		}
		to := from
		if isRange {
			if to, err = strconv.Atoi(high); err != nil || to < from {
				return nil, fmt.Errorf("%q is no range", part)
			}
		}
		if len(numbers)+to-from >= maxSoakSeeds {
			return nil, fmt.Errorf("more than %d numbers", maxSoakSeeds)
		}
		for n := from; n <= to; n++ {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}

// run makes one run and prints what came of it.
func (o *soakOptions) run(ctx context.Context, stdout io.Writer, c soak.Case, faults []int, name string) (*soak.Result, error) {
	directory := o.directory
	if len(o.cases) > 1 || o.shrink > 0 {
		directory = filepath.Join(o.directory, name)
		if err := os.MkdirAll(directory, directoryMode); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(stdout, "seed %d, %s, logs in %s\n", c.Seed, c.Duration, directory)
	result, err := soak.Run(ctx, soak.Config{
		Daemon: o.daemon, Directory: directory, Output: stdout,
		Seed: c.Seed, Duration: c.Duration, MaxRequests: o.requests, Faults: faults, Store: o.newStore(),
	})
	if err != nil {
		return nil, err
	}
	result.Write(stdout, directory)
	return result, nil
}

// explain tells how to repeat a seed that failed and, if asked to, looks for fewer
// faults with which it still breaks one of the same rules.
func (o *soakOptions) explain(ctx context.Context, stdout io.Writer, c soak.Case, result *soak.Result, name string) error {
	fmt.Fprintf(stdout, "\n%d violations; the schedule again: mimosactl soak -daemon %s -store=%t -seed %d -duration %s\n",
		len(result.Violations), o.daemon, o.store, c.Seed, c.Duration)
	if o.shrink == 0 {
		return nil
	}
	var failed error
	runs := 0
	kept := soak.Shrink(len(soak.Config{Seed: c.Seed, Duration: c.Duration, Store: o.newStore()}.Schedule()), o.shrink, func(kept []int) bool {
		runs++
		again, err := o.run(ctx, stdout, c, kept, fmt.Sprintf("%s-shrink-%d", name, runs))
		if err != nil {
			failed = err
			return false
		}
		return again.ViolatesSameRule(result)
	})
	if failed != nil {
		return failed
	}
	fmt.Fprintf(stdout, "\nseed %d, %s fails with %d faults after %d more runs: -faults %s\n",
		c.Seed, c.Duration, len(kept), runs, strings.Trim(strings.Join(strings.Fields(fmt.Sprint(kept)), ","), "[]"))
	return nil
}
