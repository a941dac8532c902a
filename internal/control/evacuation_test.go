package control

import (
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/evacuation"
	"mimosafront/internal/grant"
	"mimosafront/internal/member"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// readEvacuated does what a host does that reads in the store which zones are evacuated.
func readEvacuated(h *fleetHost, revision int64, zones ...string) {
	h.loop.EvacuationsRead(zones, evacuation.Order{Revision: revision})
}

// expectGrants checks in which zones requests of all hosts are granted.
func expectGrants(t *testing.T, hosts []*fleetHost, label string, want func(h *fleetHost, server string) bool) {
	t.Helper()
	for _, h := range hosts {
		for server := range grantedServers(t, h, label, 2) {
			if !want(h, server) {
				t.Errorf("%s: host %s was granted server %s", label, h.name, server)
			}
		}
	}
}

// TestHostsCutOffFromTheStoreLearnOfEvacuations guards against requests to an evacuated zone
// from hosts that the store doesn't reach, and from one that starts meanwhile, and against a
// zone that they never use again. Those that read the store at once must not all tell each
// other.
func TestHostsCutOffFromTheStoreLearnOfEvacuations(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		scope := tally.NewTestScope("", nil)
		hosts := startDiscoveringFleet(t, n, scope, "a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3")
		// The store reaches zone a alone.
		for _, h := range hosts[:5] {
			readEvacuated(h, 10, "b")
		}
		if !hosts[0].loop.config.Evacuations.Has("b") {
			t.Error("the evacuation isn't in force for dispatches when it has been read")
		}
		time.Sleep(time.Second)
		if sent, most := countFrames(scope, message.KindEvacuations), int64(4*(5+2)); sent > most {
			t.Errorf("%d frames were sent, want at most %d", sent, most)
		}
		late := startHost(t, n, "b4", []string{hosts[5].links.Address()}, tally.NoopScope)
		offerPolicy(t, late, testPolicy)
		late.store.SetServers(discoveredServers(100))
		hosts = append(hosts, late)
		eventually(t, "the new host has joined", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		expectGrants(t, hosts, "evacuated", func(_ *fleetHost, server string) bool { return server != "b1" })
		for _, h := range hosts {
			if !h.loop.config.Evacuations.Has("b") || !slices.Equal(h.loop.Status(t.Context()).EvacuatedZones, []string{"b"}) {
				t.Errorf("host %s doesn't know that zone b is evacuated", h.name)
			}
		}
		// A zone in turn: b is taken back, and a is evacuated.
		for _, h := range hosts[:5] {
			readEvacuated(h, 20, "a")
		}
		time.Sleep(time.Second)
		expectGrants(t, hosts, "in turn", func(_ *fleetHost, server string) bool { return server == "b1" })
		for _, h := range hosts[:5] {
			readEvacuated(h, 30)
		}
		time.Sleep(time.Second)
		expectGrants(t, hosts, "taken back", func(h *fleetHost, server string) bool { return server[:1] == h.name[:1] })
	})
}

// TestGrantIsNotDeliveredOnAnEvacuatedServer guards against a grant of a coordinator that
// doesn't know of the evacuation: its front must ask in another zone.
func TestGrantIsNotDeliveredOnAnEvacuatedServer(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "b1")
		// In the table of the front alone: neither its asks nor the coordinators heard of it.
		hosts[0].loop.config.Evacuations.Merge([]message.Evacuation{{Zone: "a", Revision: 1, Evacuated: true}})
		if granted := grantedServers(t, hosts[0], "unaware", 4); granted["b1"] != 4 {
			t.Errorf("granted %v, want 4 on b1, the only server left", granted)
		}
	})
}

// TestWaitingRequestsLeaveAnEvacuatedZone replays an evacuation while the servers of a zone
// are full and requests wait: they must be granted in the other zone at once.
func TestWaitingRequestsLeaveAnEvacuatedZone(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startDiscoveringFleet(t, n, tally.NoopScope, "a1", "a2", "b1")
		var running []grant.Lease
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"} {
			lease := mustAcquire(t, hosts[0].loop, id)
			if err := lease.Dispatch(); err != nil {
				t.Fatal(err)
			}
			running = append(running, lease)
		}
		waits := make(chan grant.Lease, 1)
		go func() {
			lease, _ := hosts[1].loop.Acquire(t.Context(), testRequest("waits"))
			waits <- lease
		}()
		// The other zone is full as well, so that the request waits at home.
		var full []grant.Lease
		for _, id := range []string{"b1", "b2", "b3", "b4"} {
			full = append(full, mustAcquire(t, hosts[2].loop, id))
		}
		time.Sleep(time.Second)
		if len(waits) > 0 {
			t.Fatal("the request doesn't wait")
		}
		for _, h := range hosts {
			readEvacuated(h, 10, "a")
		}
		time.Sleep(100 * time.Millisecond)
		for _, lease := range full {
			lease.Release(grant.Result{Outcome: message.ReleaseOutcomeUnused})
		}
		time.Sleep(200 * time.Millisecond)
		if len(waits) == 0 {
			t.Fatal("the request still waits")
		}
		if lease := <-waits; lease == nil || lease.Server().Name != "b1" {
			t.Errorf("granted %v, want b1", lease)
		}
		for _, lease := range running {
			select {
			case <-lease.Revoked():
				t.Error("a running request was revoked")
			default:
			}
		}
	})
}

// TestCallersOfAnEvacuatedZoneSpread guards against all requests of a zone at the same other
// one: different hosts ask different zones first, and their own again when it is taken back.
func TestCallersOfAnEvacuatedZoneSpread(t *testing.T) {
	p, err := policy.Parse("policy", []byte(testPolicy+"[zone c]\n[server c1]\nkind = engine\nzone = c\naddress = 127.0.0.1:1\nhardware = h\nmodels = m\n"))
	if err != nil {
		t.Fatal(err)
	}
	first := map[string]int{}
	for _, host := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"} {
		top := &topology{policy: p, view: &member.View{Zone: "a"}, evacuated: map[string]bool{"a": true}, spread: seed(host, 0)}
		pools := top.Pools("m")
		if len(pools) != 3 || !top.Closed(pools[0]) || top.Closed(pools[1]) {
			t.Fatalf("pools %v, want that of zone a first and closed", pools)
		}
		first[pools[1].Zone]++
		top.evacuated = nil
		if pools := top.Pools("m"); pools[0].Zone != "a" || pools[1].Zone != "b" || top.Closed(pools[0]) {
			t.Errorf("pools %v after the zone was taken back", pools)
		}
	}
	if first["b"] < 2 || first["c"] < 2 {
		t.Errorf("zones that hosts ask first: %v, want both", first)
	}
}
