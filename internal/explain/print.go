package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/logread"
)

// droppedLines returns the number of decision and end lines that a line reports as
// dropped. A count that cannot be parsed, because the line was truncated, counts as
// 0.
func droppedLines(r *logread.Record) int {
	sum := 0
	for _, c := range []eventlog.Class{eventlog.ClassDecision, eventlog.ClassEnd} {
		if n, err := strconv.Atoi(r.Value(c.String())); err == nil {
			sum += n
		}
	}
	return sum
}

// Print writes the timeline as a text table, with times relative to the first line of
// the request, and then how the request ended.
func (t *Timeline) Print(w io.Writer) {
	if len(t.Entries) == 0 {
		fmt.Fprintf(w, "request %s: no line in these logs\n", t.Request)
		return
	}
	start := t.start()
	fmt.Fprintf(w, "request %s, first seen at %s\n\n", t.Request, start.Format(time.RFC3339Nano))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	context := false
	for _, e := range t.Entries {
		mark := " "
		if e.Context {
			mark, context = "~", true
		}
		fmt.Fprintf(table, "%s %+d ms\t%s\t%s\t%s\n", mark, e.Record.Time.Sub(start).Milliseconds(), e.Host, truncate(e.Record.Message), e.details(t.Request))
	}
	table.Flush()
	if context {
		fmt.Fprintln(w, "\n~ changes of state on the same hosts about that time")
	}
	t.printEnd(w)
}

// maxMessageWidth is the width, in runes, to which messages are truncated. Messages of
// requests are shorter.
const maxMessageWidth = 36

func truncate(message string) string {
	if runes := []rune(message); len(runes) > maxMessageWidth {
		return string(runes[:maxMessageWidth-1]) + "…"
	}
	return message
}

// start returns the time of the first step.
func (t *Timeline) start() time.Time {
	for _, e := range t.Entries {
		if !e.Context {
			return e.Record.Time
		}
	}
	return t.Entries[0].Record.Time
}

// details returns the fields of a line as text, except the id of the request.
func (e *Entry) details(request string) string {
	var text []string
	for _, f := range e.Record.Fields {
		switch {
		case f.Value == "" || f.Value == request || f.Name == "requests":
		case strings.ContainsAny(f.Value, " \t"):
			text = append(text, fmt.Sprintf("%s=%q", f.Name, f.Value))
		default:
			text = append(text, f.Name+"="+f.Value)
		}
	}
	return strings.Join(text, " ")
}

// printEnd writes how the request ended, or the possible reasons why the logs do not
// show it.
func (t *Timeline) printEnd(w io.Writer) {
	switch end := t.End(); {
	case end == nil:
		fmt.Fprintf(w, "end: not in these logs. The request is in progress, its front ended before it, or the line is in another log; %d lines of steps and ends were dropped about that time.\n", t.Dropped)
	case end.isFoldedEnd():
		fmt.Fprintf(w, "end: refused before it ran (%s), in one line with %d others\n", end.Record.Value("reason"), end.Others)
	default:
		r := &end.Record
		fmt.Fprintf(w, "end: code %s, verdict %s, status %s", r.Value("code"), r.Value("verdict"), r.Value("status"))
		if text := r.Value("error"); text != "" {
			fmt.Fprintf(w, ": %s", text)
		}
		fmt.Fprintln(w)
	}
}
