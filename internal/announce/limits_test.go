package announce

import (
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// limitOf returns the limit of a process of the server s.
func limitOf(table *Table, now time.Time, incarnation int) float64 {
	return table.Limits(now, map[string]policy.Server{"s": {Name: "s", Incarnation: incarnation}})["s"]
}

// TestLimitBelongsToItsProcess guards against a limit that outlives the process which
// stated it.
func TestLimitBelongsToItsProcess(t *testing.T) {
	table := New()
	table.StateLimit(start, policy.Server{Name: "s", Incarnation: 100}, 2.5)
	for incarnation, want := range map[int]float64{99: 2.5, 100: 2.5, 101: 0} {
		if got := limitOf(table, start, incarnation); got != want {
			t.Errorf("incarnation %d has the limit %g, want %g", incarnation, got, want)
		}
	}
	if table.StateLimit(start.Add(time.Second), policy.Server{Name: "s", Incarnation: 99}, 9) {
		t.Error("the limit of an earlier process is news")
	}
}

// TestNewestStatementAboutALimitCounts guards against messages that arrive late or in
// another order than servers made their statements.
func TestNewestStatementAboutALimitCounts(t *testing.T) {
	table := New()
	entry := func(perS float64, age time.Duration) []message.ServerLimit {
		return []message.ServerLimit{{Server: "s", Incarnation: 100, RequestsPerS: perS, AgeMs: int(age.Milliseconds())}}
	}
	for _, step := range []struct {
		name  string
		after time.Duration
		entry []message.ServerLimit
		news  bool
		limit float64
	}{
		{"first", 0, entry(2, 0), true, 2},
		{"stated again soon", time.Second, entry(2, 0), false, 2},
		{"an older one", 2 * time.Second, entry(7, 1500*time.Millisecond), false, 2},
		{"stated again later", limitRefresh, entry(2, 0), true, 2},
		{"another one", 6 * time.Second, entry(3, 0), true, 3},
		{"none", 7 * time.Second, entry(0, 0), true, 0},
		{"one from before that", 8 * time.Second, entry(3, 1500*time.Millisecond), false, 0},
		{"too old", 9 * time.Second, entry(9, limitTTL), false, 0},
		{"negative", 10 * time.Second, entry(-1, 0), false, 0},
	} {
		now := start.Add(step.after)
		if news := len(table.MergeLimits(now, step.entry)) > 0; news != step.news {
			t.Errorf("%s: news %t, want %t", step.name, news, step.news)
		}
		if got := limitOf(table, now, 100); got != step.limit {
			t.Errorf("%s: limit %g, want %g", step.name, got, step.limit)
		}
	}
}

// TestAnswerWithoutALimitEndsIt checks that a server which states no limit any more has
// none, and that an answer which was begun before the limit doesn't end it.
func TestAnswerWithoutALimitEndsIt(t *testing.T) {
	table, server := New(), policy.Server{Name: "s", Incarnation: 100}
	if table.StateLimit(start, server, 0) {
		t.Error("an answer without a limit is news of a server that has none")
	}
	table.StateLimit(start, server, 2)
	if table.StateLimit(start.Add(minLimitTime/2), server, 0); limitOf(table, start.Add(minLimitTime/2), 100) != 2 {
		t.Error("an answer that was begun before the limit ended it")
	}
	later := start.Add(minLimitTime)
	if !table.StateLimit(later, server, 0) || limitOf(table, later, 100) != 0 {
		t.Error("an answer without a limit doesn't end it")
	}
	if entries := table.SharedLimits(later); len(entries) != 1 || entries[0].RequestsPerS != 0 {
		t.Errorf("shared %v, want the end of the limit", entries)
	}
}

// TestLimitEndsWithoutNews guards against a limit that stays for good because the message
// of its end was lost.
func TestLimitEndsWithoutNews(t *testing.T) {
	table := New()
	table.StateLimit(start, policy.Server{Name: "s", Incarnation: 100}, 2)
	if limitOf(table, start.Add(limitTTL-time.Millisecond), 100) != 2 || limitOf(table, start.Add(limitTTL), 100) != 0 {
		t.Error("the limit doesn't end with its time")
	}
	table.SetServers(start.Add(limitTTL), nil)
	if len(table.requestLimits) != 0 {
		t.Error("a limit that has ended is kept")
	}
}

// Guards against relays of two zones that send each other two limits of a server for good,
// because it stated them to two hosts at the same moment and what arrives last counts.
func TestLimitsStatedAtOnceSettle(t *testing.T) {
	here, there, server := New(), New(), policy.Server{Name: "s", Incarnation: 100}
	first, second := []message.ServerLimit{LimitEntry(server, 2)}, []message.ServerLimit{LimitEntry(server, 3)}
	here.MergeLimits(start, first)
	there.MergeLimits(start, second)
	now := start
	for range 10 {
		now = now.Add(5 * time.Millisecond)
		first, second = here.MergeLimits(now, second), there.MergeLimits(now, first)
	}
	if len(first)+len(second) > 0 {
		t.Error("two hosts still send each other the limits of a server")
	}
	if a, b := limitOf(here, now, 100), limitOf(there, now, 100); a != b {
		t.Errorf("one host knows the limit %g, the other one %g", a, b)
	}
}
