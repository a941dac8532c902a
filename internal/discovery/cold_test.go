package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
)

// coldRegistration is a renewal of the server s, which states how long it stays cold.
func coldRegistration(incarnation int, cold time.Duration) Change {
	return Change{Server: "s", Entry: &Entry{Server: policy.Server{Name: "s", Incarnation: incarnation}, Cold: cold}}
}

// TestRunningDownIsNoNews guards against hosts that all read each renewal of cold servers:
// only a server that turns cold or warm is news, and it stays the same registration.
func TestRunningDownIsNoNews(t *testing.T) {
	d := NewDirectory(testHeartbeat)
	for _, step := range []struct {
		name             string
		after            time.Duration
		incarnation      int
		cold             time.Duration
		registered, news bool
	}{
		{"starts warm", 0, 1, 0, true, false},
		{"turns cold", 1200 * time.Millisecond, 1, 5 * time.Second, false, true},
		{"runs down", 2400 * time.Millisecond, 1, 3800 * time.Millisecond, false, false},
		{"runs down, read late", 4400 * time.Millisecond, 1, 2600 * time.Millisecond, false, false},
		{"doesn't say", 4500 * time.Millisecond, 1, ColdUnknown, false, false},
		{"colder", 5 * time.Second, 1, 5 * time.Second, false, true},
		{"warm early", 6 * time.Second, 1, 0, false, true},
		{"stays warm", 7200 * time.Millisecond, 1, 0, false, false},
		{"starts again cold", 8 * time.Second, 2, 3 * time.Second, true, true},
		{"runs out", 11 * time.Second, 2, 0, false, false},
	} {
		now := start.Add(step.after)
		if got := d.Apply(now, coldRegistration(step.incarnation, step.cold)); got != step.registered {
			t.Errorf("%s: another registration is %t, want %t", step.name, got, step.registered)
		}
		news := d.TakeCold()
		if (len(news) > 0) != step.news {
			t.Errorf("%s: news %v, want some: %t", step.name, news, step.news)
		}
		if len(news) > 0 && !news[0].Until.Equal(now.Add(step.cold)) {
			t.Errorf("%s: cold until %s, want %s", step.name, news[0].Until, now.Add(step.cold))
		}
	}
}

// TestTurningColdIsReportedAsChange checks that a host which reads the store for others
// tells them of a server that turned cold, and not of renewals.
func TestTurningColdIsReportedAsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(revision int64, c Change) func() (Update, error) {
			c.Revision = revision
			return returnChanges(revision, c)
		}
		source := &scriptedSource{
			lists:   []Snapshot{{Revision: 7, Entries: map[string]Entry{"s": *coldRegistration(1, 0).Entry}}},
			watches: []func() (Update, error){at(8, coldRegistration(1, 0)), at(9, coldRegistration(1, 3*time.Second)), at(10, coldRegistration(1, 2*time.Second))},
		}
		var last Progress
		var cold []ColdServer
		f := NewFollower(source, Sink{
			Policy: func(PublishedPolicy) {}, Servers: func([]policy.Server) {}, Leaving: func([]policy.Server) {},
			Cold: func(news []ColdServer) { cold = append(cold, news...) },
			Read: func(p Progress) { last = p },
		}, NewReports(), testHeartbeat, eventlog.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f.Run(ctx)
		if last.Changed != 9 || last.Read != 10 || len(cold) != 1 {
			t.Errorf("changed at %d, read to %d, cold %v; want 9, 10 and one", last.Changed, last.Read, cold)
		}
	})
}
