package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/grant"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
)

// floodedColdPolicy has one server, which bears five requests a second while it is cold.
var floodedColdPolicy = func() string {
	policy, _, _ := strings.Cut(testPolicy, "[server b1]")
	return strings.Replace(policy, "[model m]\n", "[model m]\ncold_requests_per_s = 5.2\n", 1)
}()

// coldAllowed is what the server may get in any second: 5.2 x 1.5 + 5, in whole requests.
const coldAllowed = 12

// intervalsOfSites are those of the deployments, with what cold servers may get.
const intervalsOfSites = "heartbeat_ms = 200\nsuspect_ms = 700\ndead_ms = 2500\n[scheduler]\ncold_rate_factor = 1.5\ncold_slack_requests = 5\n"

// coldFlood is a zone whose hosts all have more requests for one server than it may get.
type coldFlood struct {
	t       *testing.T
	network *cuttable
	hosts   []*fleetHost
	stop    context.CancelFunc
	ctx     context.Context
	clients sync.WaitGroup

	began time.Time
	mu    sync.Mutex
	sent  []sentRequest
}

// sentRequest is a request that a host has sent to the server.
type sentRequest struct {
	host string
	at   time.Time
}

func startColdFlood(t *testing.T, n *memnet.Network, hosts int) *coldFlood {
	f := &coldFlood{t: t, network: newCuttable(n)}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for i := range hosts {
		f.start(fmt.Sprintf("a%d", i+1))
	}
	eventually(t, "the zone has one coordinator", func() bool { return coordinatorsAgree(t, f.hosts, "a") })
	f.began = time.Now()
	for _, h := range f.hosts {
		f.flood(h)
	}
	return f
}

// start adds a host, which has the policy and finds the others through the first ones.
func (f *coldFlood) start(name string) *fleetHost {
	var seeds []string
	for _, h := range f.hosts[:min(len(f.hosts), 3)] {
		seeds = append(seeds, h.links.Address())
	}
	h := startHostWithIntervals(f.t, &cuttableEnd{cuttable: f.network, host: name}, name, seeds, tally.NoopScope, intervalsOfSites)
	f.network.mu.Lock()
	f.network.hosts[h.links.Address()] = name
	f.network.mu.Unlock()
	f.hosts = append(f.hosts, h)
	offerPolicy(f.t, h, floodedColdPolicy)
	return h
}

// kill ends a host.
func (f *coldFlood) kill(name string) {
	for _, h := range f.hosts {
		if h.name == name {
			h.kill()
		}
	}
}

// flood sends requests through a host until the flood stops.
func (f *coldFlood) flood(h *fleetHost) {
	for client := range 4 {
		f.clients.Go(func() {
			for i := 0; f.ctx.Err() == nil; i++ {
				f.request(h, fmt.Sprintf("%s-%d-%d", h.name, client, i))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func (f *coldFlood) request(h *fleetHost, id string) {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	lease, err := h.loop.Acquire(ctx, testRequest(id))
	if err != nil {
		return
	}
	if lease.Dispatch() != nil {
		return
	}
	f.mu.Lock()
	f.sent = append(f.sent, sentRequest{host: h.name, at: time.Now()})
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished, Total: 20 * time.Millisecond})
}

// judge ends the flood and checks what the server got in any second.
func (f *coldFlood) judge() {
	f.t.Helper()
	f.stop()
	f.clients.Wait()
	slices.SortFunc(f.sent, func(a, b sentRequest) int { return a.at.Compare(b.at) })
	var fullest []sentRequest
	from := 0
	for i, r := range f.sent {
		for r.at.Sub(f.sent[from].at) >= time.Second {
			from++
		}
		if i-from+1 > len(fullest) {
			fullest = f.sent[from : i+1]
		}
	}
	if len(fullest) > coldAllowed {
		f.t.Errorf("a server that may be cold got %d requests in a second, at most %d are allowed", len(fullest), coldAllowed)
		for _, r := range fullest {
			f.t.Logf("%s from %s", r.at.Sub(f.began), r.host)
		}
	}
	if len(f.sent) == 0 {
		f.t.Error("no request was sent")
	}
}

// TestColdBoundHoldsInACut guards against hosts that are cut off from each other and each
// send a cold server, which they take for warm, what it may get from all of them together
// (review/12).
func TestColdBoundHoldsInACut(t *testing.T) {
	for _, c := range []struct {
		hosts int
		// groups are the numbers of hosts that are cut off together.
		groups []int
		// starts is whether hosts start during the cuts, and dies whether one dies, on the
		// side of the others.
		starts, dies bool
		// resets is whether the cuts reset connections.
		resets bool
	}{
		{hosts: 2, groups: []int{1}}, {hosts: 3, groups: []int{1}}, {hosts: 3, groups: []int{1, 1}}, {hosts: 4, groups: []int{2}},
		{hosts: 6, groups: []int{1, 1, 1}}, {hosts: 6, groups: []int{2, 1}}, {hosts: 8, groups: []int{1, 1, 1, 1, 1, 1, 1}},
		{hosts: 3, groups: []int{1}, starts: true}, {hosts: 4, groups: []int{1, 1}, dies: true},
		{hosts: 3, groups: []int{1}, resets: true}, {hosts: 6, groups: []int{2, 1}, resets: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d hosts, %v cut off, starts %t, dies %t, resets %t, seed %d", c.hosts, c.groups, c.starts, c.dies, c.resets, seed), func(t *testing.T) {
				memnet.Test(t, func(t *testing.T, n *memnet.Network) {
					random := rand.New(rand.NewPCG(seed, 1))
					f := startColdFlood(t, n, c.hosts)
					f.network.resets = c.resets
					names := make([]string, len(f.hosts))
					for i, k := range random.Perm(len(f.hosts)) {
						names[i] = f.hosts[k].name
					}
					for range 2 {
						time.Sleep(2*time.Second + time.Duration(random.IntN(1000))*time.Millisecond)
						cutOff := names
						t.Logf("cut after %s", time.Since(f.began))
						for i, size := range c.groups {
							f.network.cut(i+1, cutOff[:size]...)
							cutOff = cutOff[size:]
						}
						time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
						if c.starts {
							f.flood(f.start(fmt.Sprintf("a%d", len(f.hosts)+1)))
						}
						if c.dies {
							f.kill(cutOff[0])
							names = slices.DeleteFunc(names, func(name string) bool { return name == cutOff[0] })
						}
						time.Sleep(3 * time.Second)
						t.Logf("healed after %s", time.Since(f.began))
						f.network.heal()
					}
					time.Sleep(4 * time.Second)
					f.judge()
				})
			})
		}
	}
}
