package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

// observeFor feeds a Guard with a constant delay for a time and returns the end of it.
func (g *Guard) observeFor(now time.Time, length, delay time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); {
		now = now.Add(SampleInterval + delay)
		g.Observe(now, delay)
	}
	return now
}

// The refused share grows while the delay persists, and returns to zero soon after it
// ends.
func TestShareFollowsDelay(t *testing.T) {
	g := &Guard{}
	now := g.observeFor(testStart, time.Second, 0)
	if g.Share() != 0 {
		t.Fatalf("share %g without delay", g.Share())
	}
	now = g.observeFor(now, time.Second, 60*time.Millisecond)
	if g.Share() < 0.3 {
		t.Errorf("share %g after a second of delay", g.Share())
	}
	now = g.observeFor(now, 10*time.Second, 500*time.Millisecond)
	if g.Share() != maxShare {
		t.Errorf("share %g after ten seconds of long delay", g.Share())
	}
	g.observeFor(now, 5*time.Second, 0)
	if g.Share() != 0 {
		t.Errorf("share %g after five seconds without delay", g.Share())
	}
}

// Replays a host whose CPU quota is a fifth of a processor: it is throttled for 80 ms
// of each 100 ms. Every other wake-up is 60 ms late, the ones in between are on time.
func TestQuotaThrottlingIsNoOverload(t *testing.T) {
	g := &Guard{}
	now := testStart
	for range 100 {
		now = now.Add(80 * time.Millisecond)
		g.Observe(now, 60*time.Millisecond)
		now = now.Add(SampleInterval)
		g.Observe(now, 0)
	}
	if g.Share() != 0 {
		t.Errorf("share %g", g.Share())
	}
}

// One long pause, as of a suspended machine, causes no refusals.
func TestOneLongPauseIsNoOverload(t *testing.T) {
	g := &Guard{}
	now := g.observeFor(testStart, time.Second, 0)
	now = now.Add(5 * time.Second)
	g.Observe(now, 5*time.Second)
	for range 20 {
		now = now.Add(SampleInterval)
		g.Observe(now, 0)
	}
	if g.Share() > minShare {
		t.Errorf("share %g", g.Share())
	}
}

// TestHigherTierIsNotRefusedBesideALowerOne guards against a request that is refused
// although one of a lower tier would be admitted, because each counted its own arrival.
func TestHigherTierIsNotRefusedBesideALowerOne(t *testing.T) {
	g := Guard{share: 0.4453125}
	g.arrivals[9], g.arrivals[10], g.arrivals[11], g.arrivals[13], g.arrivals[14], g.arrivals[15] = 1, 20, 50, 1, 21, 35
	higher, lower := g, g
	if !higher.Admit(11, 0.005) && lower.Admit(13, 0.8) {
		t.Error("a request of tier 11 is refused while one of tier 13 is admitted")
	}
}

// Lower tiers are refused first, whatever the share and the mix of arrivals.
func TestHigherTiersAreRefusedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Guard{share: rapid.Float64Range(0, maxShare).Draw(t, "share")}
		for i := range maxTiers {
			g.arrivals[i] = float64(rapid.IntRange(0, 50).Draw(t, "arrivals"))
		}
		refusalProbability := func(tier int) float64 {
			copied := *g
			low, high := 0.0, 1.0
			for range 30 {
				if middle := (low + high) / 2; copied.Admit(tier, middle) {
					high = middle
				} else {
					low = middle
				}
				copied.arrivals = g.arrivals
			}
			return low
		}
		higher := rapid.IntRange(0, maxTiers-2).Draw(t, "higher")
		lower := rapid.IntRange(higher+1, maxTiers-1).Draw(t, "lower")
		if g.arrivals[lower] > 0 && refusalProbability(higher) > 0.001 && refusalProbability(lower) < 0.999 {
			t.Fatalf("tier %d is refused with probability %g, lower tier %d with %g", higher, refusalProbability(higher), lower, refusalProbability(lower))
		}
	})
}

// The refused fraction of the arrivals is the Guard's share.
func TestRefusedShareOfArrivalsMatchesShare(t *testing.T) {
	g := &Guard{share: 0.5}
	g.lastDecay = testStart
	refused, all := 0, 0
	for i := range 4000 {
		now := testStart.Add(time.Duration(i) * 5 * time.Millisecond)
		g.expire(now)
		all++
		if !g.Admit(i%3, float64(i%97)/97) {
			refused++
		}
	}
	if got := float64(refused) / float64(all); got < 0.45 || got > 0.55 {
		t.Errorf("refused %g of the arrivals", got)
	}
}
