package drain

import (
	"testing"
	"time"
)

func TestLatestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	cut := now.Add(4500 * time.Millisecond)
	r := NewRunTimes()
	r.Observe(now, "briefs", time.Second)
	r.Observe(now, "briefs", 2*time.Second)
	r.Observe(now, "briefs", 500*time.Millisecond)
	for _, c := range []struct {
		name, class string
		deadline    time.Time
		want        time.Time
	}{
		{"ends by itself before the cut", "unknown", cut.Add(-time.Second), cut.Add(-time.Second)},
		{"ends by itself at the cut", "briefs", cut, cut},
		{"longest run and headroom", "briefs", cut.Add(time.Second), cut.Add(-3 * time.Second)},
		{"no run is known", "unknown", cut.Add(time.Millisecond), time.Time{}},
	} {
		if got := r.LatestStart(now, c.class, c.deadline, cut); !got.Equal(c.want) {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestRunTimesAreForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	r := NewRunTimes()
	r.Observe(start, "briefs", 5*time.Second)
	r.Observe(start.Add(period), "briefs", time.Second)
	if got, ok := r.Longest(start.Add(2*period-1), "briefs"); !ok || got != 5*time.Second {
		t.Errorf("before the end of the second period: %s, %t", got, ok)
	}
	if got, ok := r.Longest(start.Add(2*period), "briefs"); !ok || got != time.Second {
		t.Errorf("after it: %s, %t", got, ok)
	}
	if _, ok := r.Longest(start.Add(10*period), "briefs"); ok {
		t.Error("a run is known long after the last one")
	}
}
