package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/grant"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// stateLimit does what the front of a host does when an answer of a server states a limit.
func stateLimit(h *fleetHost, server policy.Server, perS float64) {
	if h.loop.config.Announcements.StateLimit(time.Now(), server, perS) {
		h.loop.ServerLimited(server, perS)
	}
}

// grantsIn returns how many requests of a host on the target m are granted and finished one
// after the other within a time, and on which servers.
func grantsIn(t *testing.T, h *fleetHost, label string, length time.Duration) map[string]int {
	t.Helper()
	granted := map[string]int{}
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		lease := mustAcquire(t, h.loop, fmt.Sprintf("%s-%s-%d", label, h.name, i))
		granted[lease.Server().Name]++
		if err := lease.Dispatch(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished, Total: 10 * time.Millisecond})
	}
	return granted
}

// TestLimitOfAServerHoldsOverAllHosts guards against hosts that each send a server what it
// has stated to take from all of them. One host hears of it; the coordinator paces it,
// also for hosts that start later and after another host has become the coordinator.
func TestLimitOfAServerHoldsOverAllHosts(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		const perS = 2.0
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "b1", "b2")
		limited := discoveredServers(100)[2] // b1, the only server of zone b
		// A host of the other zone hears of it.
		stateLimit(hosts[0], limited, perS)
		time.Sleep(500 * time.Millisecond)
		for _, h := range hosts {
			if got := h.loop.config.Announcements.Limits(time.Now(), map[string]policy.Server{limited.Name: limited})[limited.Name]; got != perS {
				t.Errorf("host %s knows the limit %g, want %g", h.name, got, perS)
			}
		}
		checkPace := func(label string, h *fleetHost) {
			const length = time.Second
			if got, bound := grantsIn(t, h, label, length)[limited.Name], 1.5*perS*length.Seconds()+5; float64(got) > bound {
				t.Errorf("%s: %d requests in %s, at most %.0f are allowed", label, got, length, bound)
			}
		}
		checkPace("told", hosts[1])
		late := startHost(t, n, "b3", []string{hosts[0].links.Address()}, tally.NoopScope)
		offerPolicy(t, late, testPolicy)
		late.store.SetServers(discoveredServers(100))
		hosts = append(hosts, late)
		eventually(t, "the new host has joined", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		checkPace("late", late)
		coordinator := coordinatorOf(t, hosts, "b")
		coordinator.kill()
		hosts = slices.DeleteFunc(hosts, func(h *fleetHost) bool { return h == coordinator })
		eventually(t, "another host coordinates", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		checkPace("taken over", coordinatorOf(t, hosts, "b"))
	})
}
