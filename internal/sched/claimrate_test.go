package sched

import (
	"testing"
	"time"

	"mimosafront/internal/message"
)

// claimFlood is the load of one organisation: a request of each tier every interval of it,
// those of lower tiers a little earlier.
type claimFlood struct {
	claim     int
	intervals [MaxTiers]time.Duration
}

// claimedTokens are the tokens granted to one request.
type claimedTokens struct {
	at           time.Time
	tier, tokens int
}

// play sends the flood for some windows and returns the grants, and the number of requests
// that were refused after the first window, by tier.
func (f *claimFlood) play(p *Pool, windows int) (granted []claimedTokens, refused [MaxTiers]int) {
	const step = 5 * time.Millisecond
	id := 0
	for passed := time.Duration(0); passed < time.Duration(windows)*claimWindow; passed += step {
		now := start.Add(passed)
		for tier, interval := range f.intervals {
			if interval == 0 || (passed+time.Duration(tier)*30*time.Millisecond)%interval != 0 {
				continue
			}
			id++
			r := claimRequest(id, "a", f.claim, now)
			r.Tier = tier
			p.Add(now, r)
		}
		for id := range p.grants {
			p.Release(now, id, Result{Outcome: message.ReleaseOutcomeFinished, OutputTokens: 10})
		}
		for _, a := range p.TakeActions() {
			switch {
			case a.Kind == ActionGrant:
				granted = append(granted, claimedTokens{now, a.Request.Tier, f.claim})
			case a.Kind == ActionRefuse && passed >= claimWindow:
				refused[a.Request.Tier]++
			}
		}
	}
	return granted, refused
}

// grantedBetween sums the tokens granted to a tier, or to all with -1, between two times
// after the start.
func grantedBetween(granted []claimedTokens, tier int, from, to time.Duration) int {
	sum := 0
	for _, g := range granted {
		if passed := g.at.Sub(start); passed >= from && passed < to && (tier < 0 || tier == g.tier) {
			sum += g.tokens
		}
	}
	return sum
}

// An organisation sends 1.2 times its limit for six windows. Each window after the first
// grants the whole limit, evenly, and none more.
func TestWholeRateLimitIsGrantedInLastingFlood(t *testing.T) {
	flood := claimFlood{claim: 75}
	flood.intervals[0] = 50 * time.Millisecond
	granted, _ := flood.play(claimPool(), 6)
	for _, g := range granted {
		from := g.at.Sub(start)
		if sum := grantedBetween(granted, -1, from, from+claimWindow); sum > claimLimit+flood.claim {
			t.Fatalf("%d tokens were granted in the window from %s", sum, from)
		}
	}
	for from := 2 * claimWindow; from < 6*claimWindow; from += claimWindow / 8 {
		if sum := grantedBetween(granted, -1, from, from+claimWindow/8); sum < claimLimit/8*9/10 {
			t.Errorf("%d tokens were granted in the second from %s", sum, from)
		}
	}
	if sum := grantedBetween(granted, -1, claimWindow, 6*claimWindow); sum < 5*claimLimit*97/100 {
		t.Errorf("%d tokens were granted in five windows of %d", sum, claimLimit)
	}
}

// An organisation sends 0.6 of its limit in its highest tier and as much in each of two
// lower ones. The highest tier is served whole, the lowest one refused first, and what is
// left of the limit isn't wasted.
func TestRateLimitIsKeptForHigherTiers(t *testing.T) {
	flood := claimFlood{claim: 75}
	for tier := range 3 {
		flood.intervals[tier] = 100 * time.Millisecond
	}
	granted, refused := flood.play(claimPool(), 4)
	if refused[0] > 0 {
		t.Errorf("%d requests of the highest tier were refused", refused[0])
	}
	middle, lowest := grantedBetween(granted, 1, claimWindow, 4*claimWindow), grantedBetween(granted, 2, claimWindow, 4*claimWindow)
	if middle < 4*lowest {
		t.Errorf("the middle tier got %d tokens and the lowest %d", middle, lowest)
	}
	if sum := grantedBetween(granted, -1, claimWindow, 4*claimWindow); sum < 3*claimLimit*95/100 {
		t.Errorf("%d tokens were granted in three windows of %d", sum, claimLimit)
	}
}

// While other zones can't be reached, or their claims of a whole window aren't known, the
// bucket refills as slowly as without a history.
func TestRateLimitIsNotRaisedWithoutWholeHistory(t *testing.T) {
	p := claimPool()
	c := p.claimBuckets["a"]
	c.parts.share = 0.5
	if rate := c.refillRate(start); rate != c.rate/2 {
		t.Errorf("rate %g with half of the zones", rate)
	}
	if rate := c.refillRate(start.Add(maxMissingTime)); rate != c.rate/2 {
		t.Errorf("rate %g with half of the zones", rate)
	}
	c.parts.share = 1
	back := start.Add(maxMissingTime)
	if rate := c.refillRate(back.Add(claimWindow - 1)); rate != c.rate {
		t.Errorf("rate %g less than a window after the zones are back", rate)
	}
	if rate := c.refillRate(back.Add(2 * claimWindow)); rate <= c.rate {
		t.Errorf("rate %g with the claims of a whole window", rate)
	}
}

// TestRefusalNamesHigherTiersOnlyIfTokensAreLeftForThem guards against a reason that sends
// operators to look for higher tiers where the limit alone refuses.
func TestRefusalNamesHigherTiersOnlyIfTokensAreLeftForThem(t *testing.T) {
	for _, c := range []struct {
		whole     bool
		remaining float64
		want      string
	}{
		{true, 50, reasonLimitReserved},
		{true, -1, reasonLimitUsed},
		{false, 50, ""},
		{false, -1, reasonLimitUsed},
	} {
		b := claimBucket{whole: c.whole, rate: 1, burst: 800, remaining: c.remaining, lastRefill: start, parts: wholeLimit()}
		b.refusals = refusals{first: start.Add(-pressedAfter), last: start}
		b.lastAsked[0] = start
		if _, reason := b.over(start, 1, 75); reason != c.want {
			t.Errorf("%+v: reason %q", c, reason)
		}
	}
}
