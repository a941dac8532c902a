package discovery

import (
	"slices"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

const testHeartbeat = 1200 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func registration(name string) Change {
	return Change{Server: name, Entry: &Entry{Server: policy.Server{Name: name}}}
}

func serverNames(d *Directory) []string {
	var list []string
	for _, s := range d.Servers() {
		list = append(list, s.Name)
	}
	return list
}

// expectServers checks the names of the servers that take new work.
func expectServers(t *testing.T, d *Directory, want ...string) {
	t.Helper()
	if got := serverNames(d); !slices.Equal(got, want) {
		t.Errorf("servers %v, want %v", got, want)
	}
}

func TestRegistrationIsRemovedAtOnceWhileStoreIsAvailable(t *testing.T) {
	d := NewDirectory(testHeartbeat)
	d.Apply(start, registration("a"))
	d.Apply(start, registration("b"))
	d.Apply(start, Change{Server: "a"})
	expectServers(t, d, "b")
}

func TestLeavingServerTakesNoWork(t *testing.T) {
	d := NewDirectory(testHeartbeat)
	d.Apply(start, registration("a"))
	d.Apply(start, Change{Server: "a", Entry: &Entry{Server: policy.Server{Name: "a"}, Leaving: true}})
	expectServers(t, d)
}

// TestLapseDuringOutage checks that registrations that end during an outage of the
// store are kept until recoveryGrace ends, since their servers may be alive and
// register again within two seconds. A server that does not is removed.
func TestLapseDuringOutage(t *testing.T) {
	for _, relist := range []bool{false, true} {
		d := NewDirectory(testHeartbeat)
		d.Apply(start, registration("a"))
		d.Apply(start, registration("b"))
		d.MarkAvailable(start)
		d.MarkUnavailable()
		d.Expire(start.Add(time.Minute))
		expectServers(t, d, "a", "b")

		recovered := start.Add(2 * time.Minute)
		d.MarkAvailable(recovered)
		if relist {
			d.Replace(recovered, map[string]Entry{}, nil)
		} else {
			d.Apply(recovered, Change{Server: "a"})
			d.Apply(recovered, Change{Server: "b"})
		}
		expectServers(t, d, "a", "b")
		d.Apply(recovered.Add(time.Second), registration("a"))
		d.Expire(recovered.Add(recoveryGrace - time.Millisecond))
		expectServers(t, d, "a", "b")
		if !d.Expire(recovered.Add(recoveryGrace)) {
			t.Error("no registration expired after recoveryGrace")
		}
		expectServers(t, d, "a")
	}
}

func TestReplaceRemovesMissingServers(t *testing.T) {
	d := NewDirectory(testHeartbeat)
	d.Apply(start, registration("a"))
	d.Replace(start, map[string]Entry{"b": {Server: policy.Server{Name: "b"}}}, nil)
	expectServers(t, d, "b")
}

// TestServerThatLeftIsNotKeptAfterAShortOutage guards against requests to a server that
// has left when reads of the store failed for less time than it takes a registration to
// lapse: a broken connection, or a call that the store turned away.
func TestServerThatLeftIsNotKeptAfterAShortOutage(t *testing.T) {
	for _, relist := range []bool{false, true} {
		d := NewDirectory(testHeartbeat)
		d.MarkAvailable(start)
		d.Apply(start, registration("a"))
		d.Apply(start, registration("b"))
		d.MarkUnavailable()
		recovered := start.Add(lapseHeartbeats*testHeartbeat - time.Millisecond)
		d.MarkAvailable(recovered)
		if relist {
			d.Replace(recovered, map[string]Entry{"b": {Server: policy.Server{Name: "b"}}}, nil)
		} else {
			d.Apply(recovered.Add(time.Second), Change{Server: "a"})
		}
		expectServers(t, d, "b")
	}
}
