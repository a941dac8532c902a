package control

import (
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/discovery"
	"mimosafront/internal/memnet"
	"mimosafront/internal/policy"
)

// coldPolicy bounds what cold servers of the model m get.
var coldPolicy = strings.Replace(strings.Replace(testPolicy, "[model m]\n", "[model m]\ncold_requests_per_s = 4\n", 1), "generation = 1", "generation = 2", 1)

// TestColdServerIsKnownWithoutTheStore guards against a coordinator that the platform's
// store doesn't reach and that floods a cold server. Hosts of the other zone read of it;
// the coordinator paces it, and so does the next one.
func TestColdServerIsKnownWithoutTheStore(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		const coldTime = 8 * time.Second
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "a2", "b1", "b2")
		for _, h := range hosts {
			offerPolicy(t, h, coldPolicy)
		}
		time.Sleep(time.Second)
		cold := discoveredServers(100)[2] // b1, the only server of zone b
		until := time.Now().Add(coldTime)
		for _, h := range hosts[:2] {
			h.loop.RegisteredCold([]discovery.ColdServer{{Server: cold, Until: until}})
		}
		time.Sleep(time.Second)
		servers := map[string]policy.Server{cold.Name: cold}
		for _, h := range hosts {
			got, ok := h.loop.config.Announcements.Cold(time.Now(), servers)[cold.Name]
			if !ok || got.Sub(until).Abs() > 500*time.Millisecond {
				t.Errorf("host %s knows it is cold: %t, until %s, want %s", h.name, ok, got, until)
			}
		}
		checkPace := func(label string) {
			// Of four requests a second, one coordinator may grant a half.
			if got := grantsIn(t, coordinatorOf(t, hosts, "b"), label, time.Second)[cold.Name]; got > 2 {
				t.Errorf("%s: %d requests in a second, at most 2 are allowed", label, got)
			}
		}
		checkPace("told")
		coordinator := coordinatorOf(t, hosts, "b")
		coordinator.kill()
		for i, h := range hosts {
			if h == coordinator {
				hosts = append(hosts[:i:i], hosts[i+1:]...)
				break
			}
		}
		eventually(t, "another host coordinates", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		checkPace("taken over")
	})
}

// TestColdServersWithoutABoundAreNotShared checks that nothing passes where the policy
// asks for nothing.
func TestColdServersWithoutABoundAreNotShared(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "b1")
		cold := discoveredServers(100)[2]
		hosts[0].loop.RegisteredCold([]discovery.ColdServer{{Server: cold, Until: time.Now().Add(time.Minute)}})
		time.Sleep(time.Second)
		for _, h := range hosts {
			if got := h.loop.config.Announcements.Cold(time.Now(), map[string]policy.Server{cold.Name: cold}); len(got) > 0 {
				t.Errorf("host %s keeps %v", h.name, got)
			}
		}
	})
}
