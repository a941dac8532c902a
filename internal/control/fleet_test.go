package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/epoch"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/grant"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/peer"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// fleetHost is a loop with real links, in memory or on a loopback address.
type fleetHost struct {
	name   string
	loop   *Loop
	links  *lossyLinks
	store  *policystore.Store
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// lossyLinks drops releases while dropReleases is set.
type lossyLinks struct {
	*peer.Links
	dropReleases atomic.Bool
}

func (l *lossyLinks) Send(to string, f *message.Frame) bool {
	if f.Release != nil && l.dropReleases.Load() {
		return true
	}
	return l.Links.Send(to, f)
}

func (h *fleetHost) kill() {
	h.cancel()
	h.ended.Wait()
}

// startHost starts one host of a fleet. The first letter of its name is its zone.
func startHost(t testing.TB, n peer.Network, name string, seeds []string, metrics tally.Scope) *fleetHost {
	t.Helper()
	return startHostWithIntervals(t, n, name, seeds, metrics, "heartbeat_ms = 50\nsuspect_ms = 400\ndead_ms = 900\n")
}

// startHostWithIntervals starts a host with the given intervals of the failure
// detector.
func startHostWithIntervals(t testing.TB, n peer.Network, name string, seeds []string, metrics tally.Scope, intervals string) *fleetHost {
	t.Helper()
	text := fmt.Sprintf("[node]\nname = %s\nzone = %s\npolicy_file = unused\n[peer]\ninsecure = true\nlisten = 127.0.0.1:0\nseeds = %s\n%s",
		name, name[:1], strings.Join(seeds, ","), intervals)
	s, err := settings.Parse("settings", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	h := &fleetHost{name: name, store: policystore.New()}
	logger := eventlog.Discard()
	incarnation := int(time.Now().UnixMilli())
	h.loop = New(Config{
		Settings: s, Incarnation: incarnation, Policies: h.store, ExpectsPeers: len(seeds) > 0,
		Logger: logger, Metrics: metrics,
	})
	links, err := peer.New(peer.Config{
		Host: name, Zone: name[:1], Incarnation: incarnation, Settings: s.Peer,
		Handler: h.loop, Logger: logger, Metrics: metrics, Network: n,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.links = &lossyLinks{Links: links}
	h.loop.Connect(h.links)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.ended.Go(func() { _ = h.links.Run(ctx) })
	h.ended.Go(func() { _ = h.loop.Run(ctx) })
	t.Cleanup(h.kill)
	return h
}

// startFleet starts hosts that have the first one as their seed.
func startFleet(t testing.TB, n peer.Network, names ...string) []*fleetHost {
	t.Helper()
	var hosts []*fleetHost
	for _, name := range names {
		var seeds []string
		if len(hosts) > 0 {
			seeds = []string{hosts[0].links.Address()}
		}
		hosts = append(hosts, startHost(t, n, name, seeds, tally.NoopScope))
	}
	return hosts
}

func offerPolicy(t testing.TB, h *fleetHost, text string) {
	t.Helper()
	p, err := policy.Parse("policy", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.store.Offer(p, "test"); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition holds, at most 20 s.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 20 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// coordinatorsAgree reports whether all running hosts see each other alive and exactly
// one of them coordinates the pool of each zone.
func coordinatorsAgree(t testing.TB, hosts []*fleetHost, zones ...string) bool {
	coordinators := map[string]int{}
	for _, h := range hosts {
		r := h.loop.Status(t.Context())
		alive := 0
		for _, m := range r.Members {
			if m.State == "alive" {
				alive++
			}
		}
		if r.State == stateReady && alive != len(hosts) {
			return false
		}
		for _, pool := range r.Pools {
			coordinators[pool.Zone]++
		}
	}
	for _, zone := range zones {
		if coordinators[zone] != 1 {
			return false
		}
	}
	return true
}

func coordinatorOf(t testing.TB, hosts []*fleetHost, zone string) *fleetHost {
	t.Helper()
	for _, h := range hosts {
		for _, pool := range h.loop.Status(t.Context()).Pools {
			if pool.Zone == zone {
				return h
			}
		}
	}
	t.Fatalf("no host coordinates the pool of zone %s", zone)
	return nil
}

func TestFleetDistributesPolicyAndGrants(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3", "b1", "b2")
		offerPolicy(t, hosts[4], testPolicy)
		eventually(t, "the policy is in force everywhere", func() bool {
			for _, h := range hosts {
				if p := h.store.Current(); p == nil || p.Generation != 1 {
					return false
				}
			}
			return true
		})
		eventually(t, "each pool has one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a", "b") })
		for i, h := range hosts {
			lease := mustAcquire(t, h.loop, fmt.Sprintf("r%d", i))
			if lease.Server().Zone != h.name[:1] {
				t.Errorf("host %s got a server of zone %s", h.name, lease.Server().Zone)
			}
			if err := lease.Dispatch(); err != nil {
				t.Errorf("dispatch on %s: %v", h.name, err)
			}
			lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
		}
	})
}

// The successor of a dead coordinator must count the grants that fronts hold and grant
// the requests that wait.
func TestCoordinatorDiesWithWaitingRequests(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3")
		offerPolicy(t, hosts[0], testPolicy)
		eventually(t, "one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a") })
		coordinator := coordinatorOf(t, hosts, "a")
		var front *fleetHost
		for _, h := range hosts {
			if h != coordinator {
				front = h
			}
		}
		var held []grant.Lease
		for i := range 4 {
			lease := mustAcquire(t, front.loop, fmt.Sprintf("held%d", i))
			if err := lease.Dispatch(); err != nil {
				t.Fatal(err)
			}
			held = append(held, lease)
		}
		waiting := make(chan grant.Lease, 1)
		go func() {
			lease, err := front.loop.Acquire(t.Context(), testRequest("waiting"))
			if err != nil {
				t.Errorf("waiting request: %v", err)
			}
			waiting <- lease
		}()
		eventually(t, "the fifth request waits", func() bool { return front.loop.Status(t.Context()).Requests == 5 })
		coordinator.kill()
		eventually(t, "another host coordinates and counts the grants", func() bool {
			for _, h := range hosts {
				if h == coordinator {
					continue
				}
				for _, pool := range h.loop.Status(t.Context()).Pools {
					if pool.Servers[0].Requests >= 4 {
						return true
					}
				}
			}
			return false
		})
		for _, lease := range held {
			lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
		}
		if lease := <-waiting; lease == nil {
			t.Fatal("no grant from the new coordinator")
		}
	})
}

// A host whose link opens after a quarantine was gossiped must receive it then.
func TestQuarantineReachesHostThatStartsLater(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "b1")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		frame := &message.Frame{Quarantine: &message.Quarantine{Fingerprint: 7, Servers: []string{"a1", "b1"}}}
		hosts[0].loop.Frame("b1", frame)
		late := startHost(t, n, "a2", []string{hosts[0].links.Address()}, tally.NoopScope)
		offerPolicy(t, late, testPolicy)
		eventually(t, "a host that started later has the quarantine", func() bool {
			return len(late.loop.Status(t.Context()).Quarantined) == 1
		})
	})
}

// A coordinator frees the grants that a front's reports no longer list, so that a lost
// release doesn't occupy a server for good.
func TestLostReleasesAreRepaired(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		eventually(t, "one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a") })
		coordinator := indexOf(hosts, coordinatorOf(t, hosts, "a"))
		lossy, other := hosts[(coordinator+1)%3], hosts[(coordinator+2)%3]
		lossy.links.dropReleases.Store(true)
		for i := range 4 {
			lease := mustAcquire(t, lossy.loop, fmt.Sprintf("lost%d", i))
			if err := lease.Dispatch(); err != nil {
				t.Fatal(err)
			}
			lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
		}
		r := testRequest("next")
		r.Deadline = time.Now().Add(15 * time.Second)
		if _, err := other.loop.Acquire(t.Context(), r); err != nil {
			t.Fatalf("the grants of lost releases were never freed: %v", err)
		}
	})
}

func TestLeavingCoordinatorHandsOverItsPools(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		eventually(t, "one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a") })
		coordinator := coordinatorOf(t, hosts, "a")
		held := mustAcquire(t, coordinator.loop, "held")
		if err := held.Dispatch(); err != nil {
			t.Fatal(err)
		}
		if err := coordinator.loop.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		eventually(t, "another host coordinates and counts the grant", func() bool {
			for _, h := range hosts {
				pools := h.loop.Status(t.Context()).Pools
				if h != coordinator && len(pools) == 1 && pools[0].Servers[0].Requests == 1 {
					return true
				}
			}
			return false
		})
		if state := coordinator.loop.Status(t.Context()).State; state != stateStopping {
			t.Errorf("state %s, want %s", state, stateStopping)
		}
		if lease := mustAcquire(t, coordinator.loop, "late"); lease == nil {
			t.Error("a request of the leaving host was not served")
		}
		held.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
	})
}

// When a front can't hold a waiting request any longer, a grant of a lower tier is
// revoked for it, also on another front. The request is refused once no grant of a lower
// tier is left.
func TestEndedWaitRevokesWorkOfAnotherFront(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2")
		for _, h := range hosts {
			offerPolicy(t, h, testPolicy)
		}
		eventually(t, "one coordinator", func() bool { return coordinatorsAgree(t, hosts, "a") })
		var low []grant.Lease
		for i := range 4 {
			r := testRequest(fmt.Sprintf("low%d", i))
			r.Tier = 1
			lease, err := hosts[0].loop.Acquire(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			low = append(low, lease)
		}
		endWait := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(endWait) })
		begin := time.Now()
		for i := range 5 {
			r := testRequest(fmt.Sprintf("high%d", i))
			r.EndWait = endWait
			lease, err := hosts[1].loop.Acquire(t.Context(), r)
			if (err == nil) != (i < 4) {
				t.Fatalf("request %d of the higher tier: lease %v, error %v", i, lease, err)
			}
		}
		if waited := time.Since(begin); waited > 2*time.Second {
			t.Errorf("the requests waited %s", waited)
		}
		for i, lease := range low {
			select {
			case <-lease.Revoked():
			default:
				t.Errorf("lease %d of the lower tier was not revoked", i)
			}
		}
	})
}

// TestDrillWhileHalfOfTheFleetIsCutOff replays the return of the platform's store from a
// copy, which only the hosts of one zone see. They ignore the copy's policy and follow the
// operator's next one, of a lower generation; the others get it from them, and nobody goes
// back to the policy of the earlier epoch.
func TestDrillWhileHalfOfTheFleetIsCutOff(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "b1", "b2")
		var mu sync.Mutex
		seen := map[string][]int{}
		for _, h := range hosts {
			h.store.Subscribe(func(p *policy.Policy) {
				mu.Lock()
				defer mu.Unlock()
				seen[h.name] = append(seen[h.name], p.Generation)
			})
		}
		offer := func(h *fleetHost, generation int, written epoch.Span) error {
			p, err := policy.Parse("policy", []byte(strings.Replace(testPolicy, "generation = 1", fmt.Sprint("generation = ", generation), 1)))
			if err != nil {
				t.Fatal(err)
			}
			return h.store.OfferWritten(p, "platform", written)
		}
		for _, generation := range []int{6, 8} {
			for _, h := range hosts {
				if err := offer(h, generation, epoch.In(1)); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
		}
		var stale *policystore.StaleError
		for _, h := range hosts[:2] {
			if err := offer(h, 6, epoch.Until(2)); !errors.As(err, &stale) {
				t.Errorf("the policy of the copy: %v, want a StaleError", err)
			}
		}
		time.Sleep(time.Second)
		for _, h := range hosts[:2] {
			if err := offer(h, 7, epoch.In(2)); err != nil {
				t.Fatal(err)
			}
		}
		eventually(t, "the next policy is in force everywhere", func() bool {
			for _, h := range hosts {
				if h.store.Version().Generation != 7 || h.store.Version().Written != epoch.In(2) {
					return false
				}
			}
			return true
		})
		// Written again in a later epoch, it is passed on as that.
		if err := offer(hosts[0], 7, epoch.In(3)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "all hosts know that it was written again", func() bool {
			return !slices.ContainsFunc(hosts, func(h *fleetHost) bool { return h.store.Version().Written != epoch.In(3) })
		})
		mu.Lock()
		defer mu.Unlock()
		for host, generations := range seen {
			if fmt.Sprint(generations) != "[6 8 7]" {
				t.Errorf("host %s had generations %v in force, want 6, 8 and 7", host, generations)
			}
		}
	})
}
