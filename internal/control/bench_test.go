package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/grant"
	"mimosafront/internal/message"
)

// acquireAndRelease runs one request through Acquire, Dispatch and Release.
func acquireAndRelease(b *testing.B, h *fleetHost, id string) {
	r := testRequest(id)
	lease, err := h.loop.Acquire(b.Context(), r)
	if err != nil {
		b.Fatal(err)
	}
	if err := lease.Dispatch(); err != nil {
		b.Fatal(err)
	}
	lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 100, OutputTokens: 50})
}

// BenchmarkAsk measures Acquire, Dispatch and Release on the coordinator's host, and on
// another host over a loopback link.
func BenchmarkAsk(b *testing.B) {
	for _, remote := range []bool{false, true} {
		name := map[bool]string{false: "local", true: "remote"}[remote]
		b.Run(name, func(b *testing.B) {
			hosts := startFleet(b, nil, "a1", "a2")
			for _, h := range hosts {
				offerPolicy(b, h, testPolicy)
			}
			eventually(b, "one coordinator", func() bool { return coordinatorsAgree(b, hosts, "a") })
			front := coordinatorOf(b, hosts, "a")
			if remote {
				front = hosts[1-indexOf(hosts, front)]
			}
			acquireAndRelease(b, front, "warm")
			i := 0
			for b.Loop() {
				i++
				acquireAndRelease(b, front, fmt.Sprintf("r%d", i))
			}
		})
	}
}

func indexOf(hosts []*fleetHost, h *fleetHost) int {
	for i := range hosts {
		if hosts[i] == h {
			return i
		}
	}
	return -1
}

// BenchmarkRebuild measures the time from the death of a coordinator to the first grant
// of its successor.
func BenchmarkRebuild(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		hosts := startFleet(b, nil, "a1", "a2", "a3")
		for _, h := range hosts {
			offerPolicy(b, h, testPolicy)
		}
		eventually(b, "one coordinator", func() bool { return coordinatorsAgree(b, hosts, "a") })
		coordinator := coordinatorOf(b, hosts, "a")
		other := hosts[(indexOf(hosts, coordinator)+1)%3]
		acquireAndRelease(b, other, "warm")
		coordinator.kill()
		b.StartTimer()
		acquireAndRelease(b, other, fmt.Sprintf("r%d", i))
		b.StopTimer()
		for _, h := range hosts {
			h.kill()
		}
		b.StartTimer()
	}
}

// fleetPolicy returns a policy of the given zones with 28 models, and two servers for
// each model in each zone.
func fleetPolicy(zones []string) string {
	var text strings.Builder
	text.WriteString("[policy]\ngeneration = 1\n[tier high]\nrank = 0\n[hardware h]\n[organisation north]\n")
	fmt.Fprintf(&text, "[caller n1]\norganisation = north\nkey_sha256 = %064d\n", 1)
	for m := range 28 {
		fmt.Fprintf(&text, "[model m%d]\n", m)
	}
	for _, zone := range zones {
		fmt.Fprintf(&text, "[zone %s]\n", zone)
		for m := range 28 {
			for s := range 2 {
				fmt.Fprintf(&text, "[server %s-%d-%d]\nkind = engine\nzone = %s\naddress = 127.0.0.1:1\nhardware = h\nmodels = m%d\nmax_requests = 1000\n", zone, m, s, zone, m)
			}
		}
	}
	return text.String()
}

const (
	// convergencePollInterval is the time between two checks whether a large fleet has
	// converged. The test's own timeout bounds the wait.
	convergencePollInterval = 500 * time.Millisecond
	// trafficWindow is how long control traffic is counted.
	trafficWindow = 10 * time.Second
	// streamsPerHost and requestsPerSecond are the load per host of a fleet of 410 hosts
	// that serves 1,700 requests/s and 760,000 tokens/s, in streams of 40 tokens/s.
	streamsPerHost    = 46
	requestsPerSecond = 4
)

// BenchmarkControlTraffic measures the bytes and the CPU time of control traffic per
// host, idle and under load. All hosts run in one process, with real links.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ zones, hosts int }{{3, 1}, {4, 2}, {4, 8}, {3, 20}, {2, 37}, {3, 37}, {6, 20}} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/zones=%d/busy=%v", size.zones*size.hosts, size.zones, busy), func(b *testing.B) {
				for b.Loop() {
					measureTraffic(b, size.zones, size.hosts, busy)
				}
			})
		}
	}
}

func measureTraffic(b *testing.B, zones, perZone int, busy bool) {
	var names, zoneNames []string
	for z := range zones {
		zone := string(rune('a' + z))
		zoneNames = append(zoneNames, zone)
		for i := range perZone {
			names = append(names, fmt.Sprintf("%s%d", zone, i))
		}
	}
	policyText := fleetPolicy(zoneNames)
	var hosts []*fleetHost
	var scopes []tally.TestScope
	for _, name := range names {
		var seeds []string
		if len(hosts) > 0 {
			seeds = []string{hosts[0].links.Address()}
		}
		scope := tally.NewTestScope("", nil)
		h := startHostWithIntervals(b, nil, name, seeds, scope, "heartbeat_ms = 500\nsuspect_ms = 2000\ndead_ms = 5000\n")
		offerPolicy(b, h, policyText)
		hosts, scopes = append(hosts, h), append(scopes, scope)
	}
	for !converged(b, hosts, zones*28) {
		time.Sleep(convergencePollInterval)
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	if busy {
		for _, h := range hosts {
			load.Go(func() { serveStreams(h, stop) })
		}
		time.Sleep(3 * time.Second)
	}
	before, cpuBefore := sentBytes(scopes), processorTime()
	time.Sleep(trafficWindow)
	after, cpuAfter := sentBytes(scopes), processorTime()
	close(stop)
	perHost := 1 / trafficWindow.Seconds() / float64(len(hosts))
	total := int64(0)
	for kind := range after {
		bytes := after[kind] - before[kind]
		total += bytes
		if rate := float64(bytes) * perHost; rate >= 1 {
			b.ReportMetric(rate, kind+"_B/s/host")
		}
	}
	b.ReportMetric(float64(total)*perHost, "B/s/host")
	b.ReportMetric(100*(cpuAfter-cpuBefore).Seconds()*perHost, "%core/host")
	b.ReportMetric(0, "ns/op")
	load.Wait()
	for _, h := range hosts {
		h.cancel()
	}
	for _, h := range hosts {
		h.ended.Wait()
	}
}

// converged reports whether all hosts see each other alive and coordinate all pools.
func converged(t testing.TB, hosts []*fleetHost, pools int) bool {
	owned := 0
	for _, h := range hosts {
		r := h.loop.Status(t.Context())
		if len(r.Members) != len(hosts) {
			return false
		}
		for _, m := range r.Members {
			if m.State != "alive" {
				return false
			}
		}
		owned += len(r.Pools)
	}
	return owned == pools
}

// serveStreams keeps streamsPerHost streams running that deliver 40 tokens/s each, and
// starts new ones at requestsPerSecond.
func serveStreams(h *fleetHost, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	type stream struct {
		lease grant.Lease
		begun time.Time
	}
	var streams []stream
	for started := 0; ; {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if len(streams) == streamsPerHost {
			streams[0].lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished, OutputTokens: 400})
			streams = streams[1:]
		}
		for len(streams) < streamsPerHost {
			started++
			r := testRequest(fmt.Sprintf("%s-%d", h.name, started))
			r.Target, r.OutputTokens = fmt.Sprintf("m%d", started%28), 400
			lease, err := h.loop.Acquire(context.Background(), r)
			if err != nil {
				break
			}
			_ = lease.Dispatch()
			streams = append(streams, stream{lease: lease, begun: time.Now()})
		}
		for _, s := range streams {
			s.lease.Progress(int(40*time.Since(s.begun).Seconds())+1, 100*time.Millisecond)
		}
	}
}

// sentBytes returns the bytes sent, by kind of frame.
func sentBytes(scopes []tally.TestScope) map[string]int64 {
	sums := map[string]int64{}
	for _, scope := range scopes {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "peer_sent_bytes" {
				sums[c.Tags()["kind"]] += c.Value()
			}
		}
	}
	return sums
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
