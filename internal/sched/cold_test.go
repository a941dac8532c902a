package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testOverage lets a cold server of coldRate get coldAllowed requests in a second.
var testOverage = ColdOverage{Factor: 1.5, Slack: 5}

const (
	coldRate    = 5.2
	coldAllowed = coldRate*1.5 + 5
)

func newColdFlood(seed uint64, servers ...Server) *pacedFlood {
	f := newPacedFlood()
	f.pool = NewPool(Config{
		Service: true, MaxWaiting: 10_000, MaxWaitingTokens: 10_000, FirstTokenTarget: time.Second, ColdOverage: testOverage, Seed: seed,
	})
	f.pool.SetServers(f.now, servers)
	return f
}

// coldServers returns servers of a model that bounds what cold ones get.
func coldServers(number int, until time.Time) []Server {
	servers := make([]Server, number)
	for i := range servers {
		servers[i] = limitedServer(fmt.Sprint("s", i), 0)
		servers[i].ColdRequestsPerS, servers[i].ColdUntil = coldRate, until
	}
	return servers
}

// between returns the times from one to before another.
func between(times []time.Time, from, to time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return t.Before(from) || !t.Before(to) })
}

// TestBoundsOfColdServersHoldTogether checks that two coordinators together stay within
// what a cold server may get, and one within what a server may get that is cold already,
// also if requests arrive later than others that were granted after them.
func TestBoundsOfColdServersHoldTogether(t *testing.T) {
	window := (boundWindow + arrivalSpread).Seconds()
	for _, perS := range []float64{1, 2.5, 5.2, 20, 300} {
		for _, o := range []ColdOverage{{Factor: 1, Slack: 2}, {Factor: 1.5, Slack: 5}, {Factor: 3}, {Slack: 40}} {
			allowed := perS*max(o.Factor, 1) + o.Slack
			cold, warm := o.bounds(perS, Part{})
			if sent := maxCoordinators * (cold.burst + cold.perS*window); sent > allowed+1e-9 && allowed >= 3 {
				t.Errorf("rate %g, overage %v: cold servers get %.2f requests in a second of %.2f", perS, o, sent, allowed)
			}
			if sent := warm.burst + warm.perS*window; sent > allowed+1e-9 {
				t.Errorf("rate %g, overage %v: warm servers get %.2f requests in a second of %.2f", perS, o, sent, allowed)
			}
			if cold.perS > perS || cold.perS <= 0 || cold.burst < 1 || warm.perS < cold.perS {
				t.Errorf("rate %g, overage %v: bounds %v cold, %v warm", perS, o, cold, warm)
			}
		}
	}
}

// TestZoneThatReturnsColdIsWarmedEvenly replays a zone whose servers all come back cold
// under a burst: each is used up to its limit and not beyond, and urgent work goes first.
func TestZoneThatReturnsColdIsWarmedEvenly(t *testing.T) {
	const coldTime, servers = 6 * time.Second, 10
	f := newColdFlood(1)
	begin, end := f.now, f.now.Add(coldTime)
	f.pool.SetServers(f.now, coldServers(servers, end))
	f.run(2*coldTime, 10, 200)
	fewest, mostUsed := 1<<30, 0
	for name, granted := range f.granted {
		cold := between(granted, begin, end)
		fewest, mostUsed = min(fewest, len(cold)), max(mostUsed, len(cold))
		if n := most(cold, time.Second); float64(n) > coldAllowed/2 {
			t.Errorf("%s: %d requests in a second of one coordinator; two may send %.1f", name, n, coldAllowed)
		}
		if n := most(granted, time.Second); float64(n) > coldAllowed {
			t.Errorf("%s: %d requests in a second, at most %.1f are allowed if it turns cold again", name, n, coldAllowed)
		}
		if warm := len(between(granted, end, end.Add(coldTime))); float64(warm) < 1.3*float64(len(cold)) {
			t.Errorf("%s: %d requests while warm and %d while cold", name, warm, len(cold))
		}
	}
	if want := 0.9 * coldRate * coldTime.Seconds(); len(f.granted) != servers || float64(fewest) < want || mostUsed-fewest > 2 {
		t.Errorf("%d servers got %d to %d requests while cold, want %d servers with %.0f or more, alike", len(f.granted), fewest, mostUsed, servers, want)
	}
	for _, wait := range f.waits {
		if wait > 250*time.Millisecond {
			t.Errorf("an urgent request waited %s", wait)
		}
	}
}

// TestTwoCoordinatorsOfColdServers replays a cut during which two hosts grant the requests
// of one pool, the second of which took over a moment ago. Requests take different times
// to arrive.
func TestTwoCoordinatorsOfColdServers(t *testing.T) {
	const length = 10 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	arrivals := map[string][]time.Time{}
	for coordinator := range uint64(2) {
		f := newColdFlood(coordinator)
		f.now = f.now.Add(time.Duration(coordinator) * 1730 * time.Millisecond)
		f.pool.SetServers(f.now, coldServers(3, f.now.Add(2*length)))
		f.run(length, 2, 60)
		for name, granted := range f.granted {
			for _, at := range granted {
				arrivals[name] = append(arrivals[name], at.Add(time.Duration(random.Int64N(int64(arrivalSpread)))))
			}
		}
	}
	for name, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		if n := most(times, time.Second); float64(n) > coldAllowed {
			t.Errorf("%s: %d requests in a second, at most %.1f are allowed", name, n, coldAllowed)
		}
	}
}

// TestServerTurnsColdUnannounced replays a server under full load that is cold for some
// time before its coordinator learns of it, and one whose cold time ends early.
func TestServerTurnsColdUnannounced(t *testing.T) {
	f := newColdFlood(1, coldServers(1, time.Time{})...)
	f.run(5*time.Second, 0, 60)
	turnedCold := f.now
	f.run(1700*time.Millisecond, 0, 60)
	known := f.now
	f.pool.SetServers(f.now, coldServers(1, f.now.Add(4*time.Second)))
	f.run(2*time.Second, 0, 60)
	granted := f.granted["s0"]
	if n := most(between(granted, turnedCold, f.now), time.Second); float64(n) > coldAllowed {
		t.Errorf("%d requests in a second, at most %.1f are allowed", n, coldAllowed)
	}
	if n := len(between(granted, known, known.Add(time.Second))); float64(n) > coldRate {
		t.Errorf("%d requests in the second after its coordinator learned of it", n)
	}
	endedEarly := f.now
	f.pool.SetServers(f.now, coldServers(1, f.now))
	f.run(2*time.Second, 0, 60)
	if n := len(between(f.granted["s0"], endedEarly, f.now)); float64(n) < 2*1.3*coldRate {
		t.Errorf("%d requests in two seconds after the cold time ended", n)
	}
}

// TestStricterOfTwoBoundsCounts checks servers that are cold and state a limit.
func TestStricterOfTwoBoundsCounts(t *testing.T) {
	const length = 10 * time.Second
	for stated, most := range map[float64]float64{2: 2, 40: coldRate} {
		f := newColdFlood(1)
		servers := coldServers(1, f.now.Add(2*length))
		servers[0].RequestsPerS = stated
		f.pool.SetServers(f.now, servers)
		f.run(length, 0, 60)
		if used := float64(len(f.granted["s0"])) / length.Seconds(); used > most || used < 0.9*most {
			t.Errorf("limit %g: %.2f requests a second, want about %g", stated, used, most)
		}
	}
}

// TestColdServersWithoutABoundAreNotPaced checks that a cold time alone changes nothing.
func TestColdServersWithoutABoundAreNotPaced(t *testing.T) {
	f := newColdFlood(1)
	servers := coldServers(1, f.now.Add(time.Hour))
	servers[0].ColdRequestsPerS = 0
	f.pool.SetServers(f.now, servers)
	f.run(5*time.Second, 0, 20)
	if got := len(f.granted["s0"]); got < 95 {
		t.Errorf("%d requests were granted of 100", got)
	}
}

// TestUrgentRequestsReplaceWithinTheBound replays a flood of requests near their deadline
// on cold servers that run lower work: those that replace it count like all others.
func TestUrgentRequestsReplaceWithinTheBound(t *testing.T) {
	f := newColdFlood(1, coldServers(2, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))...)
	f.run(2*time.Second, 0, 60)
	for i := range 200 {
		f.arrived[fmt.Sprint("u", i)] = f.now
		f.pool.Add(f.now, Request{ID: fmt.Sprint("u", i), Host: "h", Organisation: "o", Caller: "c", OutputTokens: 1, Deadline: f.now.Add(350 * time.Millisecond)})
		f.run(10*time.Millisecond, 0, 60)
	}
	for name, granted := range f.granted {
		if n := most(granted, time.Second); float64(n) > coldAllowed/2 {
			t.Errorf("%s: %d requests in a second of one coordinator; two may send %.1f", name, n, coldAllowed)
		}
	}
	if len(f.waits) == 0 {
		t.Error("no urgent request was granted")
	}
}

// TestColdTimeEntersTheWait checks that a backlog is expected to take as long as cold
// servers need for it, and no longer once they are warm.
func TestColdTimeEntersTheWait(t *testing.T) {
	const coldTime, servers = 2 * time.Second, 10
	f := newColdFlood(1)
	f.pool.SetServers(f.now, coldServers(servers, f.now.Add(coldTime)))
	f.run(100*time.Millisecond, 2500)
	expected, begin, waiting := f.pool.ExpectedWait(0), f.now, f.pool.Waiting()
	for f.pool.Waiting() > 0 {
		f.run(10 * time.Millisecond)
	}
	took := f.now.Sub(begin)
	if ratio := expected.Seconds() / took.Seconds(); took < coldTime || ratio < 0.85 || ratio > 1.15 {
		t.Errorf("%d requests were expected to take %s and took %s", waiting, expected, took)
	}
	f.pool.SetServers(f.now, coldServers(servers, f.now.Add(time.Hour)))
	cold := f.pool.Load(f.now)
	f.pool.SetServers(f.now, coldServers(servers, f.now))
	if warm := f.pool.Load(f.now); cold.TokensPerSecond > servers*coldRate || warm.TokensPerSecond < 1.3*cold.TokensPerSecond {
		t.Errorf("throughput of %.1f requests a second while cold and %.1f while warm", cold.TokensPerSecond, warm.TokensPerSecond)
	}
}

// TestPartsOfBoundsAddUp guards against coordinators out of contact that together grant more
// than a server may get: each stays within its whole requests, and one without any grants
// none.
func TestPartsOfBoundsAddUp(t *testing.T) {
	window := (boundWindow + arrivalSpread).Seconds()
	for _, perS := range []float64{0.5, 2.5, 5.2, 300} {
		for _, o := range []ColdOverage{{Factor: 1, Slack: 2}, {Factor: 1.5, Slack: 5}, {Factor: 3}} {
			all := int(o.Allowed(perS))
			for own := range all {
				cold, warm := o.bounds(perS, Part{Own: own, All: all})
				for _, b := range []bound{cold, warm} {
					if own == 0 && (b.burst >= 1 || b.perS <= 0) {
						t.Errorf("rate %g, overage %v: bound %v of a part without requests", perS, o, b)
					}
					if sent := b.burst + b.perS*window; own > 0 && (sent >= float64(own)+1 || b.burst < 1 && all > 1) {
						t.Errorf("rate %g, overage %v: bound %v lets pass %.2f requests of a part of %d", perS, o, b, sent, own)
					}
				}
			}
		}
	}
}
