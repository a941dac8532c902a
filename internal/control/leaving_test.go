package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/grant"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// discoveredServers are the servers of testPolicy and a second one in zone a, as a
// platform lists them, all started at the given time.
func discoveredServers(incarnation int) []policy.Server {
	server := func(name, zone string) policy.Server {
		return policy.Server{
			Name: name, Zone: zone, Address: "127.0.0.1:1", Kind: policy.ServerKindEngine, Hardware: "h", Models: "m",
			MaxRequests: 4, Incarnation: incarnation,
		}
	}
	return []policy.Server{server("a1", "a"), server("a2", "a"), server("b1", "b")}
}

// startDiscoveringFleet starts hosts that all list the discovered servers.
func startDiscoveringFleet(t *testing.T, n *memnet.Network, metrics tally.Scope, names ...string) []*fleetHost {
	t.Helper()
	var hosts []*fleetHost
	var seeds []string
	for _, name := range names {
		h := startHost(t, n, name, seeds, metrics)
		hosts, seeds = append(hosts, h), []string{h.links.Address()}
		offerPolicy(t, h, testPolicy)
		h.store.SetServers(discoveredServers(100))
	}
	eventually(t, "each zone has one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
	return hosts
}

// announceLeaving does what the front of a host does when a server says in an answer
// that it is leaving.
func announceLeaving(h *fleetHost, server string, incarnation int) {
	s := policy.Server{Name: server, Incarnation: incarnation}
	h.loop.config.Announcements.MarkLeaving(time.Now(), s)
	h.loop.ServerLeaving(s)
}

// grantedServers returns the servers that requests of a host are granted, each of which
// is held until all are granted.
func grantedServers(t *testing.T, h *fleetHost, label string, requests int) map[string]int {
	t.Helper()
	granted := map[string]int{}
	var leases []grant.Lease
	for i := range requests {
		lease := mustAcquire(t, h.loop, fmt.Sprintf("%s-%s-%d", label, h.name, i))
		granted[lease.Server().Name]++
		leases = append(leases, lease)
	}
	for _, lease := range leases {
		lease.Release(grant.Result{Outcome: message.ReleaseOutcomeUnused})
	}
	return granted
}

// TestLeavingServerIsKnownToAllHosts guards against requests that other hosts, also of
// other zones and hosts that have just started, send to a server that has announced to
// one host that it is leaving. Their platform still lists it as ready.
func TestLeavingServerIsKnownToAllHosts(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "a2", "a3", "b1", "b2", "b3")
		announceLeaving(hosts[5], "a1", 100)
		time.Sleep(time.Second)
		late := startHost(t, n, "a4", []string{hosts[0].links.Address()}, tally.NoopScope)
		offerPolicy(t, late, testPolicy)
		late.store.SetServers(discoveredServers(100))
		hosts = append(hosts, late)
		eventually(t, "the new host has joined", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		for _, h := range hosts {
			server := discoveredServers(100)[0]
			if h.loop.config.Announcements.Accepts(time.Now(), server) {
				t.Errorf("host %s doesn't know that server a1 is leaving", h.name)
			}
			if granted := grantedServers(t, h, "leaving", 4); granted["a1"] > 0 {
				t.Errorf("host %s was granted %v, with the leaving server a1", h.name, granted)
			}
		}
		// The server starts again under its name.
		for _, h := range hosts {
			h.store.SetServers(discoveredServers(101))
		}
		time.Sleep(time.Second)
		if granted := grantedServers(t, hosts[0], "again", 8); granted["a1"] == 0 {
			t.Errorf("granted %v, want some requests on a1, which has started again", granted)
		}
	})
}

// TestRegisteredLeavingIsShared guards against requests to a leaving server from hosts
// that the platform's store doesn't reach, while the store tells the others. Hosts that
// read it at the same time must not all tell each other.
func TestRegisteredLeavingIsShared(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		scope := tally.NewTestScope("", nil)
		hosts := startDiscoveringFleet(t, n, scope, "a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3")
		leaving := discoveredServers(100)[2] // b1
		// The store reaches zone a alone; all its hosts read the registration at once.
		for _, h := range hosts[:5] {
			h.loop.RegisteredLeaving([]policy.Server{leaving})
		}
		time.Sleep(time.Second)
		for _, h := range hosts {
			if h.loop.config.Announcements.Accepts(time.Now(), leaving) {
				t.Errorf("host %s doesn't know that server b1 is leaving", h.name)
			}
		}
		// Two relays of each zone send to five hosts of their zone and to the relays of the
		// other.
		if sent, most := countFrames(scope, message.KindLeavingServers), int64(4*(5+2)); sent > most {
			t.Errorf("%d frames were sent, want at most %d", sent, most)
		}
	})
}

// TestNoGrantIsDeliveredOnALeavingServer guards against a grant of a coordinator that
// doesn't know yet that its server is leaving: the front must ask for another server.
func TestNoGrantIsDeliveredOnALeavingServer(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "b1")
		// Known to the front alone: nothing is shared.
		hosts[0].loop.config.Announcements.MarkLeaving(time.Now(), policy.Server{Name: "a1", Incarnation: 100})
		hosts[0].loop.config.Announcements.MarkLeaving(time.Now(), policy.Server{Name: "a2", Incarnation: 100})
		if granted := grantedServers(t, hosts[0], "withdrawn", 4); granted["b1"] != 4 {
			t.Errorf("granted %v, want 4 on b1, the only server left", granted)
		}
	})
}

// TestServerIsUsedAgainWhenItsAnnouncementExpires guards against a server that gets no work
// for as long as nothing else changes: it started again, and its incarnation isn't known.
func TestServerIsUsedAgainWhenItsAnnouncementExpires(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "b1")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		eventually(t, "each zone has one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		announceLeaving(hosts[0], "a1", 0)
		time.Sleep(time.Second)
		if granted := grantedServers(t, hosts[0], "before", 2); granted["a1"] > 0 {
			t.Errorf("granted %v, with the leaving server a1", granted)
		}
		time.Sleep(20 * time.Second)
		if granted := grantedServers(t, hosts[0], "after", 2); granted["a1"] != 2 {
			t.Errorf("granted %v after the announcement has expired, want 2 on a1", granted)
		}
	})
}
