package experiment

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"mimosafront/internal/load"
	"mimosafront/internal/measure"
	"mimosafront/internal/report"
)

// Row holds the measures of one scenario under one algorithm, over all seeds.
type Row struct {
	Scenario  string
	Algorithm string
	values    map[string]*span
}

// span is the lowest, mean and highest value over the seeds.
type span struct {
	low, high, sum float64
	count          int
}

func (s *span) add(v float64) {
	if s.count == 0 {
		s.low, s.high = v, v
	}
	s.low, s.high = math.Min(s.low, v), math.Max(s.high, v)
	s.sum += v
	s.count++
}

func (s *span) String() string {
	if s == nil || s.count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f (%.3f-%.3f)", s.sum/float64(s.count), s.low, s.high)
}

func (r *Row) add(name string, value float64) {
	if r.values[name] == nil {
		r.values[name] = &span{}
	}
	r.values[name].add(value)
}

// Rows joins runs by scenario and algorithm, in the order of the runs.
func Rows(runs []Run) []*Row {
	var rows []*Row
	index := map[[2]string]*Row{}
	for _, run := range runs {
		key := [2]string{run.Scenario, run.Algorithm}
		row := index[key]
		if row == nil {
			row = &Row{Scenario: run.Scenario, Algorithm: run.Algorithm, values: map[string]*span{}}
			index[key] = row
			rows = append(rows, row)
		}
		row.measure(run)
	}
	return rows
}

// measure adds the measures of one run.
func (r *Row) measure(run Run) {
	s := measure.Summarize(run.With)
	r.add("tokens/s", s.Goodput(measure.Key{}))
	r.add("wasted prefill", s.WastedPrefill())
	for _, tier := range run.With.Tiers {
		g := s.Group(measure.Key{Tier: tier})
		if g.Offered == 0 {
			continue
		}
		r.add("good "+tier, g.GoodShare())
		r.add("timely "+tier, g.TimelyShare())
		r.add("p95 first s "+tier, g.FirstToken(95)/1000)
		if g.Tries > g.Offered {
			r.add("tries "+tier, g.MeanTries())
			r.add("p95 returned s "+tier, g.Returned(95)/1000)
		}
		if g.Gaps > 0 {
			r.add("gaps in target "+tier, g.GapShare())
		}
		if f := s.Fairness(tier); f.Backlogged > 0 {
			r.add("of max-min "+tier, f.Worst)
			r.add("Jain "+tier, f.Jain)
		}
	}
	r.add("gaps in target", s.Group(measure.Key{}).GapShare())
	r.add("broken promises", float64(brokenPromises(run.With, s)))
	r.add("sent late p99 s", s.Lateness(99)/1000)
	r.add("host CPU", run.Daemons.CPU.Seconds()/run.HostSeconds)
	if tokens := run.With.Journals.OutputTokens; tokens > 0 {
		r.add("CPU us/token", run.Daemons.CPU.Seconds()*1e6/float64(tokens))
	}
	r.add("host peak MB", float64(run.Daemons.PeakBytes)/1e6)
	if run.Without != nil {
		r.compare(run)
	}
}

// brokenPromises counts answers that were wrong, requests that ran twice and
// requests that ran though their callers were told they had not.
func brokenPromises(result *load.Result, s *measure.Summary) int {
	wrong := s.Group(measure.Key{}).Outcomes[load.Wrong]
	return wrong + result.Journals.Repeated + result.Journals.FalseNotRun
}

func (r *Row) compare(run Run) {
	c := measure.Compare(run.With, run.Without)
	for _, tier := range run.With.Tiers {
		if kept := c.Keep(measure.Key{Tier: tier}); kept.Requests > 0 {
			r.add("kept "+tier, kept.Goodput)
		}
	}
	least, slowest := c.Worst(report.IsOrganisation)
	r.add("kept worst organisation", least.Goodput)
	r.add("first token ratio worst organisation", slowest.FirstToken)
	least, slowest = c.Worst(report.IsCaller)
	r.add("kept worst caller", least.Goodput)
	r.add("first token ratio worst caller", slowest.FirstToken)
}

// WriteTable writes one Markdown table for each scenario: a line for each
// measure, a column for each algorithm, as mean (lowest-highest) of the seeds.
func WriteTable(w io.Writer, rows []*Row) {
	for len(rows) > 0 {
		name := rows[0].Scenario
		var same []*Row
		for len(rows) > 0 && rows[0].Scenario == name {
			same = append(same, rows[0])
			rows = rows[1:]
		}
		writeScenario(w, name, same)
	}
}

func writeScenario(w io.Writer, name string, rows []*Row) {
	fmt.Fprintf(w, "\n| %s |", name)
	for _, row := range rows {
		fmt.Fprintf(w, " %s |", row.Algorithm)
	}
	fmt.Fprint(w, "\n|---|")
	for range rows {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprintln(w)
	for _, measureName := range measureNames(rows) {
		fmt.Fprintf(w, "| %s |", measureName)
		for _, row := range rows {
			fmt.Fprintf(w, " %s |", row.values[measureName])
		}
		fmt.Fprintln(w)
	}
}

// measureNames returns the names that any row has, in order.
func measureNames(rows []*Row) []string {
	names := map[string]bool{}
	for _, row := range rows {
		for name := range row.values {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
