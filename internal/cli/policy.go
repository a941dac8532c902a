package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"mimosafront/internal/policy"
)

// Policy checks and shows policy files.
var Policy = Command{Name: "policy", Summary: "check, compare, show and bundle policy files", Run: runPolicy, Subcommands: policyCommands}

var policyCommands = []Command{
	{Name: "lint", Summary: "check policy files and report every fault", Run: runPolicyLint},
	{Name: "diff", Summary: "show what changes from one policy file to another", Run: runPolicyDiff},
	{Name: "bundle", Summary: "write the manifest and sections to publish", Run: runPolicyBundle},
	{Name: "show", Summary: "show what a policy file defines", Run: runPolicyShow},
}

func runPolicy(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runNamed(ctx, "mimosactl policy", policyCommands, args, stdout, stderr)
}

func runPolicyLint(_ context.Context, args []string, stdout, stderr io.Writer) int {
	return lint("policy lint", args, stdout, stderr, func(path string) (string, error) {
		p, err := policy.Load(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("generation %d", p.Generation), nil
	})
}

func runPolicyShow(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("policy show", "FILE", stderr)
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	p, err := policy.Load(flags.Arg(0))
	if err != nil {
		return fail(stderr, err)
	}
	showPolicy(stdout, p)
	return ExitOK
}

func showPolicy(w io.Writer, p *policy.Policy) {
	fmt.Fprintf(w, "association  %s\ngeneration   %d\ndigest       %s\n\n", p.Association, p.Generation, p.Digest)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIER\tRANK\tDEADLINE\tFIRST TOKEN")
	for _, tier := range p.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d ms\t%d ms\n", tier.Name, tier.Rank, tier.DeadlineMs, tier.FirstTokenMs)
	}
	fmt.Fprintln(table, "\nPOOL\tZONE\tSERVERS")
	for _, pool := range p.Pools() {
		fmt.Fprintf(table, "%s\t%s\t%d\n", pool.Target, pool.Zone, len(p.PoolServers(pool)))
	}
	table.Flush()
	fmt.Fprintf(w, "\n%d organisations, %d callers, %d backend servers\n", len(p.Organisations), len(p.Callers), len(p.Servers))
}
