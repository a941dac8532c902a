package sched

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// claimPool is a pool whose organisation a may claim 1,000 tokens a second and 2,000
// at once.
func claimPool() *Pool {
	p := newTestPool(4, 1_000_000)
	p.SetLimits(start, map[string]Limits{"a": {ClaimRate: 1000, ClaimBurst: 2000}}, 1)
	p.claims["a"].left = 2000
	return p
}

func claimRequest(id int, organisation string, claim int, now time.Time) Request {
	return Request{
		ID: fmt.Sprint(organisation, id), Organisation: organisation, Caller: "c", Claim: claim,
		PromptTokens: 10, OutputTokens: 10, Arrived: now, Deadline: now.Add(time.Minute),
	}
}

// outcomes counts the grants and the refusals for the rate limit by organisation.
func outcomes(p *Pool) (granted, limited map[string]int) {
	granted, limited = map[string]int{}, map[string]int{}
	for _, a := range p.TakeActions() {
		switch {
		case a.Kind == ActionGrant:
			granted[a.Request.Organisation]++
		case a.Kind == ActionRefuse && a.Refusal == message.RefusalReasonRateLimit:
			limited[a.Request.Organisation]++
		}
	}
	return granted, limited
}

// One organisation sends ten times its limit, another its usual load.
func TestRateLimitUnderFloodOfOneOrganisation(t *testing.T) {
	p := claimPool()
	const seconds = 8
	granted, limited := map[string]int{}, map[string]int{}
	for i := range seconds * 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		p.Add(now, claimRequest(i, "a", 100, now))
		if i%20 == 0 {
			p.Add(now, claimRequest(i, "b", 100, now))
		}
		for id := range p.grants {
			p.Release(now, id, Result{Outcome: message.ReleaseOutcomeFinished, OutputTokens: 10})
		}
		g, l := outcomes(p)
		for name := range g {
			granted[name] += g[name]
		}
		for name := range l {
			limited[name] += l[name]
		}
	}
	if most := (2000 + seconds*1000 + 100) / 100; granted["a"] > most || granted["a"] < most-2 {
		t.Errorf("a claimed %d requests of 100 tokens, the limit allows %d", granted["a"], most)
	}
	if granted["a"]+limited["a"] != seconds*100 {
		t.Errorf("%d granted and %d refused of %d", granted["a"], limited["a"], seconds*100)
	}
	if granted["b"] != seconds*5 {
		t.Errorf("%d of %d requests of b were granted", granted["b"], seconds*5)
	}
}

func TestClaimReturnsIfTheRequestDidNotRun(t *testing.T) {
	p := claimPool()
	p.Add(start, claimRequest(1, "a", 2000, start))
	for id := range p.grants {
		p.Release(start, id, Result{Outcome: message.ReleaseOutcomeUnused})
	}
	p.TakeActions()
	p.Add(start, claimRequest(2, "a", 2000, start))
	if granted, _ := outcomes(p); granted["a"] != 1 {
		t.Error("the claim of a grant that was not used is lost")
	}
}

func TestClaimsOfOtherZonesCount(t *testing.T) {
	p := claimPool()
	p.ClaimRemote(start, "a", 2000)
	p.Add(start, claimRequest(1, "a", 100, start))
	if granted, limited := outcomes(p); granted["a"] != 0 || limited["a"] != 1 {
		t.Errorf("granted %v, refused %v", granted, limited)
	}
}

// Zones that are cut off from each other give out no more than the limit together,
// but for the allowance.
func TestSharesOfZonesThatAreCutOff(t *testing.T) {
	for zones := 1; zones <= 11; zones++ {
		for heard := 1; heard <= zones; heard++ {
			share := ClaimShare(heard, zones)
			if heard == zones && share != 1 || share > cutAllowance*float64(heard)/float64(zones) && share != 1 || share <= 0 {
				t.Errorf("%d of %d zones: share %g", heard, zones, share)
			}
			if rest := ClaimShare(zones-heard, zones); heard < zones && share+rest > cutAllowance+1e-9 {
				t.Errorf("%d and %d zones give out %g of the limit", heard, zones-heard, share+rest)
			}
		}
	}
}
