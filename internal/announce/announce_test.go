package announce

import (
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestServerThatStartedAgainGetsRequests guards against a mark that outlives the process
// which announced to leave: its name or address belongs to another process then.
func TestServerThatStartedAgainGetsRequests(t *testing.T) {
	table := New()
	table.MarkLeaving(start, policy.Server{Name: "s", Incarnation: 100})
	for _, c := range []struct {
		server policy.Server
		want   bool
	}{
		{policy.Server{Name: "s", Incarnation: 100}, false},
		{policy.Server{Name: "s", Incarnation: 99}, false},
		{policy.Server{Name: "s", Incarnation: 101}, true},
		{policy.Server{Name: "other", Incarnation: 90}, true},
	} {
		if got := table.Accepts(start, c.server); got != c.want {
			t.Errorf("server %s of incarnation %d is accepted: %t, want %t", c.server.Name, c.server.Incarnation, got, c.want)
		}
	}
}

// TestUnknownIncarnationIsTriedAgain guards against a server without a known incarnation
// that starts again under its name and never gets a request.
func TestUnknownIncarnationIsTriedAgain(t *testing.T) {
	table := New()
	table.MarkLeaving(start, policy.Server{Name: "s", Incarnation: 0})
	server := policy.Server{Name: "s"}
	if table.Accepts(start.Add(unknownIncarnationTTL-time.Millisecond), server) {
		t.Error("the server is accepted while the announcement holds")
	}
	if !table.Accepts(start.Add(unknownIncarnationTTL), server) {
		t.Error("the server is never accepted again")
	}
}

func TestMergeReturnsNewsOnce(t *testing.T) {
	table := New()
	entry := func(incarnation int, age time.Duration) message.LeavingServer {
		return message.LeavingServer{Server: "s", Incarnation: incarnation, AgeMs: int(age.Milliseconds())}
	}
	for _, step := range []struct {
		name  string
		after time.Duration
		entry message.LeavingServer
		news  bool
	}{
		{"first", 0, entry(100, 0), true},
		{"repeated with its age", 10 * time.Second, entry(100, 10*time.Second), false},
		{"of an earlier process", 11 * time.Second, entry(90, 0), false},
		{"of a later process", 12 * time.Second, entry(110, 0), true},
		{"too old to be shared", 13 * time.Second, message.LeavingServer{Server: "t", Incarnation: 1, AgeMs: int(shareTTL.Milliseconds())}, false},
	} {
		if got := len(table.Merge(start.Add(step.after), []message.LeavingServer{step.entry})) == 1; got != step.news {
			t.Errorf("%s: news %t, want %t", step.name, got, step.news)
		}
	}
	if entries := table.Shared(start.Add(20 * time.Second)); len(entries) != 1 || entries[0].AgeMs != 8000 {
		t.Errorf("shared entries %v, want one that is 8 s old", entries)
	}
	if entries := table.Shared(start.Add(time.Hour)); len(entries) != 0 {
		t.Errorf("shared entries %v after an hour, want none", entries)
	}
}

// TestSetServersBoundsTheTable checks that the table keeps the marks of servers that are
// still listed, and of recent ones that this host doesn't know yet, and drops the others.
func TestSetServersBoundsTheTable(t *testing.T) {
	table := New()
	for _, name := range []string{"listed", "gone", "again"} {
		table.MarkLeaving(start, policy.Server{Name: name, Incarnation: 100})
	}
	later := start.Add(shareTTL)
	table.MarkLeaving(later, policy.Server{Name: "unknown", Incarnation: 100})
	table.SetServers(later, map[string]policy.Server{
		"listed": {Name: "listed", Incarnation: 100},
		"again":  {Name: "again", Incarnation: 101},
	})
	if len(table.leaving) != 2 || table.leaving["listed"].incarnation == 0 || table.leaving["unknown"].incarnation == 0 {
		t.Errorf("kept marks: %v, want those of listed and unknown", table.leaving)
	}
}

func TestPauseEndsInTimeAndWithTheProcess(t *testing.T) {
	table := New()
	server := policy.Server{Name: "s", Incarnation: 100}
	table.Pause(server, start.Add(2*time.Second))
	table.Pause(server, start.Add(time.Second))
	if got := table.Paused(start.Add(1999 * time.Millisecond)); len(got) != 1 || table.Accepts(start.Add(1999*time.Millisecond), server) {
		t.Errorf("paused servers %v before the end of the longer pause, want s", got)
	}
	if got := table.Paused(start.Add(2 * time.Second)); len(got) != 0 || !table.Accepts(start.Add(2*time.Second), server) {
		t.Errorf("paused servers %v after the end, want none", got)
	}
	again := policy.Server{Name: "s", Incarnation: 101}
	table.SetServers(start, map[string]policy.Server{"s": again})
	if got := table.Paused(start); len(got) != 0 || !table.Accepts(start, again) {
		t.Errorf("paused servers %v, want none: the process has started again", got)
	}
}
