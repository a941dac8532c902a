package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"mimosafront/internal/inifile"
	"mimosafront/internal/load"
	"mimosafront/internal/measure"
	"mimosafront/internal/report"
	"mimosafront/internal/scenario"
)

// demoKeyPrefix begins the bearer keys of the example policies.
const demoKeyPrefix = "demo-"

// Load sends the requests of a scenario to running entry hosts.
var Load = Command{Name: "load", Summary: "send the requests of a scenario to running entry hosts", Run: runLoad}

// loadFlags are the flags of the load command.
type loadFlags struct {
	scenario, policy, hosts, skip, label, keys, out *string
	seed                                            *uint64
	quiet                                           *bool
}

func newLoadFlags(flags *flag.FlagSet) loadFlags {
	return loadFlags{
		scenario: flags.String("scenario", "", "scenario `file`"),
		policy:   flags.String("policy", "", "policy `file` in place of the scenario's"),
		hosts:    flags.String("hosts", "127.0.0.1:8080", "`addresses` of entry hosts, separated by commas; loopback only"),
		skip:     flags.String("skip", "", "`groups` of streams to leave out, separated by commas"),
		label:    flags.String("label", "", "`text` copied to the result"),
		keys:     flags.String("keys", demoKeyPrefix, "`prefix` that makes a caller's bearer key from its name"),
		out:      flags.String("out", "", "write the result as JSON to this `file`"),
		seed:     flags.Uint64("seed", 1, "seed of the random numbers"),
		quiet:    flags.Bool("quiet", false, "no progress lines"),
	}
}

func runLoad(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	set := newFlags("load", "-scenario FILE -hosts ADDRESSES", stderr)
	flags := newLoadFlags(set)
	if code, ok := parse(set, args, 0, 0); !ok {
		return code
	}
	if *flags.scenario == "" {
		set.Usage()
		return ExitUsage
	}
	s, err := scenario.Load(*flags.scenario)
	if err == nil && *flags.policy != "" {
		err = s.LoadPolicy(*flags.policy)
	}
	if err != nil {
		return fail(stderr, err)
	}
	config := load.Config{
		Scenario: s, Hosts: inifile.SplitList(*flags.hosts), Seed: *flags.seed, Skip: inifile.SplitList(*flags.skip),
		Label: *flags.label, KeyPrefix: *flags.keys, Progress: stderr,
	}
	if *flags.quiet {
		config.Progress = nil
	}
	result, err := load.Run(ctx, config)
	if err != nil {
		return fail(stderr, err)
	}
	if *flags.out != "" {
		if err := result.Write(*flags.out); err != nil {
			return fail(stderr, err)
		}
	}
	if err := report.Text(stdout, result); err != nil {
		return fail(stderr, err)
	}
	return judgeResult(result, stderr)
}

// judgeResult fails for a run that broke a promise to callers.
func judgeResult(r *load.Result, stderr io.Writer) int {
	wrong := measure.Summarize(r).Group(measure.Key{}).Outcomes[load.Wrong]
	var broken []string
	if wrong > 0 {
		broken = append(broken, fmt.Sprintf("%d wrong answers", wrong))
	}
	if r.Journals.Repeated > 0 {
		broken = append(broken, fmt.Sprintf("%d requests ran twice", r.Journals.Repeated))
	}
	if r.Journals.FalseNotRun > 0 {
		broken = append(broken, fmt.Sprintf("%d requests ran though not_run was told", r.Journals.FalseNotRun))
	}
	if len(broken) == 0 {
		return ExitOK
	}
	fmt.Fprintln(stderr, "broken promises: "+strings.Join(broken, ", "))
	return ExitFailed
}
