package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// pacedFlood replays a flood of requests on a pool: rate requests a second of a tier, each
// of which runs for 300 ms.
type pacedFlood struct {
	pool    *Pool
	now     time.Time
	running map[time.Time][]string
	// granted holds when requests were granted, by server.
	granted map[string][]time.Time
	// waits holds how long the requests of the highest tier waited.
	waits   []time.Duration
	arrived map[string]time.Time
	sent    int
}

func newPacedFlood(servers ...Server) *pacedFlood {
	f := &pacedFlood{
		pool: NewPool(Config{Service: true, MaxWaiting: 10_000, MaxWaitingTokens: 10_000, FirstTokenTarget: time.Second}),
		now:  time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), running: map[time.Time][]string{},
		granted: map[string][]time.Time{}, arrived: map[string]time.Time{},
	}
	f.pool.SetServers(f.now, servers)
	return f
}

func limitedServer(name string, perS float64) Server {
	return Server{Name: name, MaxRequests: 8, PrefillTokensPerS: 1, DecodeTokensPerS: 1, TokensInFlight: 100, RequestsPerS: perS}
}

// run lets requests arrive for a time, at a rate of each tier, in turns of 10 ms.
func (f *pacedFlood) run(length time.Duration, ratePerTier ...float64) {
	const turn = 10 * time.Millisecond
	due := make([]float64, len(ratePerTier))
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(turn) {
		for _, grant := range f.running[f.now] {
			f.pool.Release(f.now, grant, Result{Outcome: message.ReleaseOutcomeFinished, Total: 300 * time.Millisecond})
		}
		delete(f.running, f.now)
		for tier, rate := range ratePerTier {
			for due[tier] += rate * turn.Seconds(); due[tier] >= 1; due[tier]-- {
				f.sent++
				id := fmt.Sprint("r", f.sent)
				f.arrived[id] = f.now
				f.pool.Add(f.now, Request{ID: id, Host: "h", Organisation: "o", Caller: "c", Tier: tier, OutputTokens: 1, Deadline: f.now.Add(10 * time.Second)})
			}
		}
		f.pool.Tick(f.now)
		f.record()
	}
}

func (f *pacedFlood) record() {
	for _, a := range f.pool.TakeActions() {
		if a.Kind != ActionGrant {
			continue
		}
		f.granted[a.Server] = append(f.granted[a.Server], f.now)
		if a.Request.Tier == 0 {
			f.waits = append(f.waits, f.now.Sub(f.arrived[a.Request.ID]))
		}
		end := f.now.Add(300 * time.Millisecond)
		f.running[end] = append(f.running[end], a.Grant)
	}
}

// most returns the largest number of times within a window.
func most(times []time.Time, window time.Duration) int {
	largest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestLimitedServerGetsNoMoreThanItStates guards against a server in need that gets as
// many requests as its slots bear. In any four seconds it may get one and a half times its
// limit and five requests more; it has to be used up to its limit.
func TestLimitedServerGetsNoMoreThanItStates(t *testing.T) {
	const length = 40 * time.Second
	for _, perS := range []float64{0.5, 1, 2.8, 7, 20} {
		t.Run(fmt.Sprint(perS), func(t *testing.T) {
			f := newPacedFlood(limitedServer("limited", perS))
			f.run(length, 0, 25)
			got := f.granted["limited"]
			if n, bound := most(got, 4*time.Second), 1.5*4*perS+5; float64(n) > bound {
				t.Errorf("%d requests in four seconds, at most %.1f are allowed", n, bound)
			}
			if used := float64(len(got)) / length.Seconds(); used < 0.95*perS {
				t.Errorf("%.2f requests a second of a limit of %.2f", used, perS)
			}
		})
	}
}

// TestUrgentRequestsGoFirstOnALimitedServer guards against urgent requests that wait for
// the limit behind a flood of others.
func TestUrgentRequestsGoFirstOnALimitedServer(t *testing.T) {
	f := newPacedFlood(limitedServer("limited", 4))
	f.run(20*time.Second, 1, 30)
	if len(f.waits) < 18 {
		t.Fatalf("%d urgent requests were granted, about 20 were sent", len(f.waits))
	}
	for _, wait := range f.waits {
		if wait > 100*time.Millisecond {
			t.Errorf("an urgent request waited %s", wait)
		}
	}
	if used := float64(len(f.granted["limited"])) / 20; used < 0.95*4 {
		t.Errorf("%.2f requests a second of a limit of 4", used)
	}
}

// TestLimitEndsAtOnce checks that a server which states no limit any more is used again.
func TestLimitEndsAtOnce(t *testing.T) {
	f := newPacedFlood(limitedServer("s", 2))
	f.run(5*time.Second, 0, 20)
	f.pool.SetServers(f.now, []Server{limitedServer("s", 0)})
	before := len(f.granted["s"])
	f.run(5*time.Second, 0, 20)
	if got := len(f.granted["s"]) - before; got < 90 {
		t.Errorf("%d requests in five seconds after the limit ended, of 100 that were sent", got)
	}
}

// TestUnsentRequestsDontCountAgainstALimit checks that a limited server is used up to its
// limit when fronts return grants unused.
func TestUnsentRequestsDontCountAgainstALimit(t *testing.T) {
	f := newPacedFlood(limitedServer("s", 2))
	unused := 0
	for range 100 {
		f.run(100*time.Millisecond, 0, 20)
		for end, grants := range f.running {
			for _, grant := range grants {
				f.pool.Release(f.now, grant, Result{Outcome: message.ReleaseOutcomeUnused})
				unused++
			}
			delete(f.running, end)
		}
	}
	if unused < 50 {
		t.Errorf("%d grants were returned in ten seconds; a limit of 2 counted them as sent", unused)
	}
}

// TestUnsentRequestsDontOverfillABucket guards against requests that weren't sent and are
// given back to a bucket that is full again: they would be sent beside what it holds.
func TestUnsentRequestsDontOverfillABucket(t *testing.T) {
	f := newPacedFlood(limitedServer("s", 1))
	f.now = f.now.Add(5 * time.Second)
	add := func(number int) (grants []string) {
		for i := range number {
			f.pool.Add(f.now, Request{ID: fmt.Sprint(f.now.Unix(), "-", i), Host: "h", Organisation: "o", Caller: "c", OutputTokens: 1, Deadline: f.now.Add(10 * time.Second)})
		}
		f.pool.Tick(f.now)
		for _, a := range f.pool.TakeActions() {
			if a.Kind == ActionGrant {
				grants = append(grants, a.Grant)
			}
		}
		return grants
	}
	unsent := add(2)
	if len(unsent) != 2 {
		t.Fatalf("%d requests were granted, want 2", len(unsent))
	}
	f.now = f.now.Add(5 * time.Second)
	grants := add(20)
	for _, grant := range unsent {
		f.pool.Release(f.now, grant, Result{Outcome: message.ReleaseOutcomeUnused})
	}
	f.pool.Tick(f.now)
	for _, a := range f.pool.TakeActions() {
		if a.Kind == ActionGrant {
			grants = append(grants, a.Grant)
		}
	}
	if len(grants) != 2 {
		t.Errorf("%d requests were granted at once, want the 2 that the bucket holds", len(grants))
	}
}
