package discovery

import (
	"slices"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func registered(name string) Change {
	return Change{Server: name, Entry: &Entry{Server: policy.Server{Name: name}}}
}

func names(d *Directory) []string {
	var list []string
	for _, s := range d.Servers() {
		list = append(list, s.Name)
	}
	return list
}

func expectServers(t *testing.T, d *Directory, want ...string) {
	t.Helper()
	if got := names(d); !slices.Equal(got, want) {
		t.Errorf("servers %v, want %v", got, want)
	}
}

func TestRegistrationEndsAtOnceWhileTheStoreAnswers(t *testing.T) {
	d := NewDirectory()
	d.Apply(start, registered("a"))
	d.Apply(start, registered("b"))
	d.Apply(start, Change{Server: "a"})
	expectServers(t, d, "b")
}

func TestLeavingServerTakesNoWork(t *testing.T) {
	d := NewDirectory()
	d.Apply(start, registered("a"))
	d.Apply(start, Change{Server: "a", Entry: &Entry{Server: policy.Server{Name: "a"}, Leaving: true}})
	expectServers(t, d)
}

// Registrations lapse while the store is away, although the servers live. They are
// back within two seconds; one that isn't has ended.
func TestLapseDuringOutage(t *testing.T) {
	for _, relist := range []bool{false, true} {
		d := NewDirectory()
		d.Apply(start, registered("a"))
		d.Apply(start, registered("b"))
		d.Lost()
		d.Expire(start.Add(time.Minute))
		expectServers(t, d, "a", "b")

		back := start.Add(2 * time.Minute)
		d.Heard(back)
		if relist {
			d.Replace(back, map[string]Entry{})
		} else {
			d.Apply(back, Change{Server: "a"})
			d.Apply(back, Change{Server: "b"})
		}
		expectServers(t, d, "a", "b")
		d.Apply(back.Add(time.Second), registered("a"))
		d.Expire(back.Add(returnGrace - time.Millisecond))
		expectServers(t, d, "a", "b")
		if !d.Expire(back.Add(returnGrace)) {
			t.Error("nothing expired after the grace")
		}
		expectServers(t, d, "a")
	}
}

func TestSnapshotEndsWhatItLacks(t *testing.T) {
	d := NewDirectory()
	d.Apply(start, registered("a"))
	d.Replace(start, map[string]Entry{"b": {Server: policy.Server{Name: "b"}}})
	expectServers(t, d, "b")
}
