package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"mimosafront/internal/experiment"
	"mimosafront/internal/inifile"
)

// Experiment compares the scheduler's algorithms on scenarios.
var Experiment = Command{Name: "experiment", Summary: "run scenarios against daemons that it starts, and compare algorithms", Run: runExperiment}

func runExperiment(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("experiment", "-daemon PATH SCENARIO...", stderr)
	daemon := flags.String("daemon", "", "`path` of mimosafrontd")
	algorithms := flags.String("algorithms", "fair,fifo,least_outstanding", "`names` of algorithms, separated by commas")
	seeds := flags.String("seeds", "1,2,3", "`seeds` of the random numbers, separated by commas")
	directory := flags.String("out", "", "`directory` for results, settings and logs; empty takes a temporary one")
	quiet := flags.Bool("quiet", false, "no progress lines")
	if code, ok := parse(flags, args, 1, -1); !ok {
		return code
	}
	if *daemon == "" {
		flags.Usage()
		return ExitUsage
	}
	config := experiment.Config{
		Daemon: *daemon, Scenarios: flags.Args(), Algorithms: inifile.SplitList(*algorithms),
		Directory: *directory, KeyPrefix: demoKeyPrefix, Progress: stderr,
	}
	if *quiet {
		config.Progress = nil
	}
	for _, text := range inifile.SplitList(*seeds) {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fail(stderr, fmt.Errorf("seed %q is not a whole number", text))
		}
		config.Seeds = append(config.Seeds, seed)
	}
	var err error
	if config.Control, err = os.Executable(); err != nil {
		return fail(stderr, err)
	}
	if config.Daemon, config.Directory, err = prepareRun(config.Daemon, config.Directory, "experiment"); err != nil {
		return fail(stderr, err)
	}
	runs, err := experiment.Do(ctx, config)
	experiment.WriteTable(stdout, experiment.Rows(runs))
	if err != nil {
		return fail(stderr, err)
	}
	fmt.Fprintf(stdout, "\nresults in %s\n", config.Directory)
	return ExitOK
}

// prepareRun returns the absolute path of a daemon and a directory for results,
// which it creates; an empty directory takes a temporary one.
func prepareRun(daemon, directory, use string) (string, string, error) {
	path, err := exec.LookPath(daemon)
	if err != nil {
		return "", "", err
	}
	if path, err = filepath.Abs(path); err != nil {
		return "", "", err
	}
	if directory == "" {
		directory, err = os.MkdirTemp("", "mimosafront-"+use+"-")
		return path, directory, err
	}
	return path, directory, os.MkdirAll(directory, 0o755)
}
