package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
)

// An update that is received again, with a greater age, must not be taken for a later
// crash and relayed.
func TestRepeatedQuarantineIsNotRelayed(t *testing.T) {
	now := time.Now()
	q := newQuarantineCache()
	for _, step := range []struct {
		name    string
		after   time.Duration
		entry   message.Quarantine
		changed bool
	}{
		{"first", 0, message.Quarantine{Fingerprint: 7, Servers: []string{"s1"}}, true},
		{"repeated, with its age", 20 * time.Second, message.Quarantine{Fingerprint: 7, Servers: []string{"s1"}, AgeMs: 20_000}, false},
		{"repeated, delayed in transit", 25 * time.Second, message.Quarantine{Fingerprint: 7, Servers: []string{"s1"}, AgeMs: 20_000}, false},
		{"a second server", 26 * time.Second, message.Quarantine{Fingerprint: 7, Servers: []string{"s1", "s2"}}, true},
		{"the first server alone", 27 * time.Second, message.Quarantine{Fingerprint: 7, Servers: []string{"s1"}, AgeMs: 27_000}, false},
		{"a later crash", 90 * time.Second, message.Quarantine{Fingerprint: 7, Servers: []string{"s1"}}, true},
		{"another fingerprint", 91 * time.Second, message.Quarantine{Fingerprint: 8, Servers: []string{"s1"}}, true},
	} {
		changed := q.merge(now.Add(step.after), []message.Quarantine{step.entry})
		if (len(changed) == 1) != step.changed {
			t.Errorf("%s: changed %t, want %t", step.name, len(changed) == 1, step.changed)
		}
	}
	if entries := q.current(now.Add(quarantineGossipTTL + 95*time.Second)); len(entries) != 0 {
		t.Errorf("%d expired entries are sent", len(entries))
	}
}

// When many hosts join at once, coordinators send each of them the quarantines once, and
// no host relays entries that all hosts have.
func TestJoiningHostsReceiveQuarantinesOnce(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		scope := tally.NewTestScope("", nil)
		var hosts []*fleetHost
		var seeds []string
		start := func(name string) *fleetHost {
			h := startHost(t, n, name, seeds, scope)
			offerPolicy(t, h, testPolicy)
			hosts = append(hosts, h)
			return h
		}
		for i := range 4 {
			start(fmt.Sprint("a", i))
			seeds = []string{hosts[0].links.Address()}
			start(fmt.Sprint("b", i))
		}
		eventually(t, "each zone has one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		const fingerprints = 50
		for i := range fingerprints {
			hosts[0].loop.Frame("b0", &message.Frame{Quarantine: &message.Quarantine{Fingerprint: uint64(i + 1), Servers: []string{"a1", "b1"}}})
		}
		hasAll := func(h *fleetHost) bool { return len(h.loop.Status(t.Context()).Quarantined) == fingerprints }
		for _, h := range hosts[:7] {
			eventually(t, h.name+" has all quarantines", func() bool { return hasAll(h) })
		}
		before := countQuarantineFrames(scope)
		// The age of the entries changes before they are sent again.
		time.Sleep(3 * time.Second)
		late := []*fleetHost{start("a7"), start("a8"), start("a9")}
		time.Sleep(5 * time.Second)
		for _, h := range late {
			if !hasAll(h) {
				t.Errorf("%s has %d quarantines, want %d", h.name, len(h.loop.Status(t.Context()).Quarantined), fingerprints)
			}
		}
		// Each pair of hosts may send them both ways, and once more after a handover of
		// duties.
		pairs := len(late) * len(hosts)
		if sent := countQuarantineFrames(scope) - before; sent > int64(4*pairs) {
			t.Errorf("%d frames with quarantines for %d new hosts among %d, want at most %d", sent, len(late), len(hosts), 4*pairs)
		}
	})
}

// countQuarantineFrames returns the number of frames with quarantines sent.
func countQuarantineFrames(scope tally.TestScope) int64 {
	return countFrames(scope, message.KindQuarantine) + countFrames(scope, message.KindQuarantines)
}

// countFrames returns the number of frames of a kind sent.
func countFrames(scope tally.TestScope, kind message.Kind) int64 {
	sent := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "peer_sent_frames" && c.Tags()["kind"] == string(kind) {
			sent += c.Value()
		}
	}
	return sent
}

// Guards against updates that relays of different zones send each other for good, because
// many servers crashed at the same moment and each relay has forgotten an update when it
// arrives again.
func TestQuarantinesOfManyCrashesAreRelayedOnce(t *testing.T) {
	const crashed = 4 * quarantineCacheSize
	now := time.Now()
	entries := make([]message.Quarantine, crashed)
	for i := range entries {
		entries[i] = message.Quarantine{Fingerprint: uint64(i + 1), Servers: []string{"s"}}
	}
	here, there := newQuarantineCache(), newQuarantineCache()
	if got := len(there.merge(now, here.merge(now, entries))); got != crashed {
		t.Fatalf("%d of %d updates reached the other relay", got, crashed)
	}
	if got := len(here.merge(now.Add(time.Second), entries)); got != 0 {
		t.Errorf("%d of %d updates were relayed again", got, crashed)
	}
}

// Updates beyond those that a host can recognise are not relayed until known ones have
// lapsed.
func TestKnownQuarantinesAreBounded(t *testing.T) {
	now := time.Now()
	q := newQuarantineCache()
	for i := range maxKnownQuarantines {
		q.merge(now, []message.Quarantine{{Fingerprint: uint64(i + 1), Servers: []string{"s"}}})
	}
	next := []message.Quarantine{{Fingerprint: maxKnownQuarantines + 1, Servers: []string{"s"}}}
	if got := q.merge(now.Add(time.Minute), next); len(got) != 0 {
		t.Error("an update was relayed that will not be recognised")
	}
	if got := q.merge(now.Add(quarantineGossipTTL), next); len(got) != 1 || q.known.Len() > maxKnownQuarantines {
		t.Errorf("%d updates were relayed after others have lapsed, %d are known", len(got), q.known.Len())
	}
}
