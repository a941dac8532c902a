package demo

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// textWidth is the printed length of an answer.
const textWidth = 72

// printAnswer writes one answer as it comes.
func printAnswer(out io.Writer, r result) {
	text := r.text
	if len(text) > textWidth {
		text = text[:textWidth] + "..."
	}
	fmt.Fprintf(out, "answer %s to %s: %d %s %q\n", r.what, r.caller, r.status, r.verdict, text)
}

// row is one line of the table.
type row struct {
	association  string
	tier         string
	organisation string
	whole        int
	refused      int
	tokens       int
	first        []time.Duration
	total        []time.Duration
}

// writeTable writes the results by tier and organisation.
func writeTable(out io.Writer, results []result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ASSOCIATION\tTIER\tORGANISATION\tWHOLE\tREFUSED\tTOKENS\tFIRST TOKEN (MEDIAN)\tTOTAL (MEDIAN)")
	for _, r := range group(results) {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n",
			r.association, r.tier, r.organisation, r.whole, r.refused, r.tokens, median(r.first), median(r.total))
	}
	_ = table.Flush()
}

// group joins the results of each association, tier and organisation, ordered.
func group(results []result) []*row {
	rows := map[string]*row{}
	for _, r := range results {
		key := strings.Join([]string{r.association, r.tier, r.organisation}, "\t")
		line, ok := rows[key]
		if !ok {
			line = &row{association: r.association, tier: r.tier, organisation: r.organisation}
			rows[key] = line
		}
		line.add(r)
	}
	var sorted []*row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[key])
	}
	return sorted
}

func (r *row) add(answer result) {
	if answer.status >= http.StatusBadRequest {
		r.refused++
		return
	}
	r.whole++
	r.tokens += answer.tokens
	r.total = append(r.total, answer.total)
	if answer.firstToken > 0 {
		r.first = append(r.first, answer.firstToken)
	}
}

// median returns the middle of some durations as text.
func median(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return all[len(all)/2].Round(time.Millisecond).String()
}
