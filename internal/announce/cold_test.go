package announce

import (
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

func coldFor(incarnation int, remaining, age time.Duration) []message.ColdServer {
	return []message.ColdServer{{Server: "s", Incarnation: incarnation, RemainingMs: int(remaining.Milliseconds()), AgeMs: int(age.Milliseconds())}}
}

// TestNewestStatementAboutAColdServerCounts guards against statements that hosts repeat to
// each other, that arrive late or in another order, or that can't be right.
func TestNewestStatementAboutAColdServerCounts(t *testing.T) {
	table := New()
	for _, step := range []struct {
		name  string
		after time.Duration
		entry []message.ColdServer
		news  bool
		until time.Duration
	}{
		{"warm, of an unknown server", 0, coldFor(100, 0, 0), false, 0},
		{"turns cold", time.Second, coldFor(100, 10*time.Second, 0), true, 11 * time.Second},
		{"shared by another host", 2 * time.Second, coldFor(100, 10*time.Second, 900*time.Millisecond), false, 11 * time.Second},
		{"read late by another host", 2500 * time.Millisecond, coldFor(100, 10*time.Second, 0), false, 11 * time.Second},
		{"colder", 4 * time.Second, coldFor(100, 12*time.Second, 0), true, 16 * time.Second},
		{"a late older one", 5 * time.Second, coldFor(100, 4*time.Second, 4*time.Second), false, 16 * time.Second},
		{"warm early", 6 * time.Second, coldFor(100, 0, 0), true, 0},
		{"colder, older than that", 7 * time.Second, coldFor(100, 12*time.Second, 3*time.Second), false, 0},
		{"the next process", 8 * time.Second, coldFor(200, 5*time.Second, 0), true, 13 * time.Second},
		{"the process before", 9 * time.Second, coldFor(100, 9*time.Second, 0), false, 13 * time.Second},
		{"negative", 9 * time.Second, coldFor(300, -time.Second, 0), false, 13 * time.Second},
		{"huge", 9 * time.Second, coldFor(300, MaxColdTime+time.Second, 0), false, 13 * time.Second},
		{"runs out", 14 * time.Second, nil, false, 0},
		{"long after, of a lower incarnation", time.Minute, coldFor(150, 5*time.Second, 0), true, 65 * time.Second},
	} {
		now := start.Add(step.after)
		if news := len(table.MergeCold(now, step.entry)) > 0; news != step.news {
			t.Errorf("%s: news %t, want %t", step.name, news, step.news)
		}
		until, cold := table.Cold(now, map[string]policy.Server{"s": {Name: "s", Incarnation: 100}})["s"]
		if cold != (step.until > 0) || cold && !until.Equal(start.Add(step.until)) {
			t.Errorf("%s: cold %t until %s, want %s", step.name, cold, until, start.Add(step.until))
		}
	}
}

// TestColdTimeBelongsToItsProcess guards against a cold time that outlives its process,
// and a table that grows.
func TestColdTimeBelongsToItsProcess(t *testing.T) {
	table := New()
	table.MergeCold(start, coldFor(100, 5*time.Second, 0))
	for incarnation, want := range map[int]int{99: 1, 100: 1, 101: 0} {
		if got := table.Cold(start, map[string]policy.Server{"s": {Name: "s", Incarnation: incarnation}}); len(got) != want {
			t.Errorf("incarnation %d: cold %v, want %d", incarnation, got, want)
		}
	}
	shared := table.SharedCold(start.Add(2 * time.Second))
	if len(shared) != 1 || shared[0].RemainingMs != 5000 || shared[0].AgeMs != 2000 {
		t.Errorf("shared %v, want 5 s of 2 s ago", shared)
	}
	if table.SetServers(start.Add(limitTTL), nil); len(table.cold) != 0 {
		t.Errorf("%v is kept", table.cold)
	}
}
