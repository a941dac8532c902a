// Package report shows the results of load runs as text and as plots.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"mimosafront/internal/load"
	"mimosafront/internal/measure"
)

// Text writes the measures of a run as tables.
func Text(w io.Writer, r *load.Result) error {
	s := measure.Summarize(r)
	fmt.Fprintf(w, "scenario %s, seed %d%s, %.0f s measured after %.0f s\n",
		r.Scenario, r.Seed, labelOf(r), r.MeasuredSeconds(), r.WarmupS)
	fmt.Fprintf(w, "sent late by the load tool: p50 %.1f ms, p99 %.1f ms\n\n", s.Lateness(50), s.Lateness(99))
	if err := tierTable(w, s); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := organisationTable(w, s); err != nil {
		return err
	}
	j := r.Journals
	fmt.Fprintf(w, "\nengines' journals (%d engines): %d requests, %d run twice, %d told not_run but run\n",
		j.Engines, j.Requests, j.Repeated, j.FalseNotRun)
	fmt.Fprintf(w, "prefill: %d tokens computed, %d cached, %.2f %% wasted\n",
		j.PrefillTokens, j.CachedTokens, 100*s.WastedPrefill())
	return nil
}

func labelOf(r *load.Result) string {
	if r.Label == "" {
		return ""
	}
	return ", " + r.Label
}

func tierTable(w io.Writer, s *measure.Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\toffered\tgood\tgood %\ttimely %\tlate\trefused\tfailed\twrong\ttokens/s\tfirst p50 ms\tp95\tp99\ttotal p95\tgaps in target %\t")
	for _, tier := range append(s.Result.Tiers, "") {
		key := measure.Key{Tier: tier}
		g := s.Group(key)
		if g.Offered == 0 {
			continue
		}
		if tier == "" {
			tier = "all"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t\n",
			tier, g.Offered, g.Good(), 100*g.GoodShare(), 100*g.TimelyShare(), g.Outcomes[load.Late], g.Outcomes[load.Refused],
			g.Outcomes[load.Failed]+g.Outcomes[load.Unsent], g.Outcomes[load.Wrong], s.Goodput(key),
			g.FirstToken(50), g.FirstToken(95), g.FirstToken(99), g.Total(95), 100*g.GapShare())
	}
	return table.Flush()
}

func organisationTable(w io.Writer, s *measure.Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\torganisation\toffered\tgood %\twork offered\twork good\tfirst p95 ms\t")
	keys := s.Keys(func(k measure.Key) bool { return k.Tier != "" && k.Organisation != "" && k.Caller == "" })
	for _, key := range keys {
		g := s.Group(key)
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t\n", key.Tier, key.Organisation,
			g.Offered, 100*g.GoodShare(), g.OfferedWork, g.GoodWork, g.FirstToken(95))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, tier := range s.Result.Tiers {
		f := s.Fairness(tier)
		if f.Backlogged == 0 {
			continue
		}
		fmt.Fprintf(w, "%s: worst share of max-min %.3f (%s), Jain %.3f among %d backlogged\n",
			tier, f.Worst, f.WorstParty, f.Jain, f.Backlogged)
	}
	return nil
}

// Comparison writes what the requests of a run keep beside those that another
// run left out.
func Comparison(w io.Writer, with, without *load.Result) error {
	c := measure.Compare(with, without)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "kept beside %v\n", without.Skipped)
	fmt.Fprintln(table, "tier\tgoodput kept\tfirst token p95 ratio\trequests\t")
	for _, tier := range append(without.Tiers, "") {
		kept := c.Keep(measure.Key{Tier: tier})
		if kept.Requests == 0 {
			continue
		}
		if tier == "" {
			tier = "all"
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.2f\t%d\t\n", tier, kept.Goodput, kept.FirstToken, kept.Requests)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	least, slowest := c.Worst(IsOrganisation)
	fmt.Fprintf(w, "worst organisation: keeps %.3f (%s); first token %.2f x (%s)\n",
		least.Goodput, least.Key.Organisation, slowest.FirstToken, slowest.Key.Organisation)
	least, slowest = c.Worst(IsCaller)
	fmt.Fprintf(w, "worst caller: keeps %.3f (%s); first token %.2f x (%s)\n",
		least.Goodput, least.Key.Caller, slowest.FirstToken, slowest.Key.Caller)
	return nil
}

// IsOrganisation selects all requests of one organisation.
func IsOrganisation(k measure.Key) bool {
	return k.Tier == "" && k.Organisation != "" && k.Caller == ""
}

// IsCaller selects all requests of one caller.
func IsCaller(k measure.Key) bool { return k.Tier == "" && k.Caller != "" }
