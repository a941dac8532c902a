package soak

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"mimosafront/internal/apierror"
	"mimosafront/internal/verdict"
)

const (
	// maxViolationsShown bounds the violations shown for each rule, maxExcerptLines
	// the log lines shown for each request.
	maxViolationsShown = 5
	maxExcerptLines    = 12
)

// Write prints the tables of a run, and the violations with their requests and the
// log lines of these in the directory.
func (r *Result) Write(w io.Writer, directory string) {
	r.writeFaults(w)
	r.writeRequests(w)
	counts := map[Rule]int{}
	for _, v := range r.Violations {
		counts[v.Rule]++
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nrule\tjudged\tviolations\n")
	for _, rule := range rules {
		fmt.Fprintf(table, "%s\t%d\t%d\n", rule, r.Checked[rule], counts[rule])
	}
	table.Flush()
	shown := map[Rule]int{}
	for _, v := range r.Violations {
		if shown[v.Rule]++; shown[v.Rule] > maxViolationsShown {
			continue
		}
		fmt.Fprintf(w, "\nVIOLATION of %q: %s\n", v.Rule, v.Detail)
		for _, id := range v.Requests {
			fmt.Fprintf(w, "  request %s\n", id)
			writeExcerpt(w, directory, id)
		}
	}
}

func (r *Result) writeFaults(w io.Writer) {
	counts := map[Kind]int{}
	for _, in := range r.Faults {
		counts[in.Kind]++
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nfault\tcount\n")
	for _, kind := range slices.Concat(kinds, answerKinds, storeKinds) {
		fmt.Fprintf(table, "%s\t%d\n", kind, counts[kind])
	}
	table.Flush()
}

func (r *Result) writeRequests(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\ntier\tsent\twhole\tnot run\tunknown\n")
	for tier, name := range tiers {
		var sent, whole, notRun int
		for _, record := range r.Records {
			if record.Tier != tier {
				continue
			}
			sent++
			switch {
			case record.Complete:
				whole++
			case record.Verdict == verdict.NotRun:
				notRun++
			}
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", name, sent, whole, notRun, sent-whole-notRun)
	}
	table.Flush()
	codes := map[apierror.Code]int{}
	for _, record := range r.Records {
		if !record.Complete {
			codes[record.Code]++
		}
	}
	writeCounts(w, "error", codes)
	writeCounts(w, "operation told", r.Operations)
}

// writeCounts prints a table of counts sorted by name.
func writeCounts[K ~string](w io.Writer, title string, counts map[K]int) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\n%s\tcount\n", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(table, "%s\t%d\n", name, counts[name])
	}
	table.Flush()
}

// writeExcerpt prints the lines of the daemons' logs that contain a request ID.
func writeExcerpt(w io.Writer, directory, id string) {
	lines := 0
	for _, name := range hostNames {
		log, err := os.Open(filepath.Join(directory, name+".log"))
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(log)
		for scanner.Scan() && lines < maxExcerptLines {
			if strings.Contains(scanner.Text(), id) {
				fmt.Fprintf(w, "    %s: %s\n", name, scanner.Text())
				lines++
			}
		}
		_ = log.Close()
	}
}
