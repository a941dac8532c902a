package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// Rate limit of organisation a.
const (
	claimWindow = 8 * time.Second
	claimLimit  = 10_000
)

// claimPool returns a pool in which organisation a has an unused rate limit.
func claimPool() *Pool {
	p := newTestPool(4, 1_000_000)
	p.SetLimits(start.Add(-2*claimWindow), map[string]Limits{"a": {ClaimLimit: claimLimit, ClaimWindow: claimWindow, ClaimWhole: true}})
	return p
}

func claimRequest(id int, organisation string, claim int, now time.Time) Request {
	return Request{
		ID: fmt.Sprint(organisation, id), Organisation: organisation, Caller: "c", Claim: claim,
		PromptTokens: 10, OutputTokens: 10, Arrived: now, Deadline: now.Add(time.Minute),
	}
}

// outcomes counts the grants and the rate limit refusals by organisation.
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

// One organisation sends ten times its limit, another its usual load. No window of the
// limit's length may grant more than the limit, and most of the limit must be granted.
func TestRateLimitUnderFloodOfOneOrganisation(t *testing.T) {
	p := claimPool()
	const claim, requests, interval = 125, 3200, 10 * time.Millisecond
	var granted []time.Time
	limited, others := 0, 0
	for i := range requests {
		now := start.Add(time.Duration(i) * interval)
		p.Add(now, claimRequest(i, "a", claim, now))
		if i%20 == 0 {
			p.Add(now, claimRequest(i, "b", claim, now))
		}
		for id := range p.grants {
			p.Release(now, id, Result{Outcome: message.ReleaseOutcomeFinished, OutputTokens: 10})
		}
		g, l := outcomes(p)
		for range g["a"] {
			granted = append(granted, now)
		}
		limited, others = limited+l["a"], others+g["b"]
	}
	for i, from := range granted {
		n := 0
		for _, at := range granted[i:] {
			if at.Sub(from) < claimWindow {
				n++
			}
		}
		if n*claim > claimLimit+claim {
			t.Fatalf("%d tokens were granted in the window from %s", n*claim, from.Sub(start))
		}
	}
	// The burst share of the limit doesn't refill within a window.
	steady := int((1 - burstShare) * claimLimit)
	if windows := requests * int(interval) / int(claimWindow); len(granted)*claim < windows*steady {
		t.Errorf("%d tokens were granted in %d windows of %d", len(granted)*claim, windows, claimLimit)
	}
	if len(granted)+limited != requests || others != requests/20 {
		t.Errorf("%d granted and %d refused of %d requests of a; %d granted of %d of b", len(granted), limited, requests, others, requests/20)
	}
}

// A refused request that is retried after the advised delay is granted.
func TestRateLimitRetryAfterIsSufficient(t *testing.T) {
	p := claimPool()
	p.Add(start, claimRequest(1, "a", claimLimit, start))
	p.Add(start, claimRequest(2, "a", 1000, start))
	var after time.Duration
	for _, a := range p.TakeActions() {
		if a.Kind == ActionRefuse {
			after = a.RetryAfter
		}
	}
	if after <= 0 || after > 2*claimWindow {
		t.Fatalf("advised retry delay is %s", after)
	}
	back := start.Add(after)
	p.Add(back, claimRequest(3, "a", 1000, back))
	if granted, _ := outcomes(p); granted["a"] != 1 {
		t.Error("the retry after the advised delay was refused")
	}
}

// After a takeover, the new coordinator must not grant the limit a second time.
func TestRateLimitAfterTakeover(t *testing.T) {
	p := newTestPool(4, 1_000_000)
	p.SetLimits(start, map[string]Limits{"a": {ClaimLimit: claimLimit, ClaimWindow: claimWindow, ClaimWhole: true}})
	for i := range 10 {
		p.Add(start, claimRequest(i, "a", claimLimit/200, start))
	}
	if granted, limited := outcomes(p); granted["a"] != 1 || limited["a"] != 9 {
		t.Errorf("granted %v, refused %v", granted, limited)
	}
	// The pool of another zone reports that nothing else was claimed.
	p.SyncRemaining(start, "a", claimLimit/10)
	p.Add(start, claimRequest(10, "a", claimLimit/20, start))
	if granted, _ := outcomes(p); granted["a"] != 1 {
		t.Error("refused although another zone reported the limit as unused")
	}
}

// The claim of an unused grant must be returned to the rate limit.
func TestUnusedGrantReturnsItsClaim(t *testing.T) {
	p := claimPool()
	p.Add(start, claimRequest(1, "a", claimLimit, start))
	for id := range p.grants {
		p.Release(start, id, Result{Outcome: message.ReleaseOutcomeUnused})
	}
	p.TakeActions()
	p.Add(start, claimRequest(2, "a", claimLimit, start))
	if granted, _ := outcomes(p); granted["a"] != 1 {
		t.Error("the claim of an unused grant was not returned")
	}
}

// Claims in other zones count against the limit.
func TestRemoteClaimsCountAgainstLimit(t *testing.T) {
	p := claimPool()
	p.ClaimRemote(start, "z2", "a", claimLimit)
	p.Add(start, claimRequest(1, "a", 100, start))
	if granted, limited := outcomes(p); granted["a"] != 0 || limited["a"] != 1 {
		t.Errorf("granted %v, refused %v", granted, limited)
	}
}

// Zones partitioned from each other together hold no more than the limit.
func TestClaimSharesDuringPartition(t *testing.T) {
	for count := 1; count <= 11; count++ {
		for reachable := 1; reachable < count; reachable++ {
			left := 0.0
			for _, side := range [][2]int{{0, reachable}, {reachable, count}} {
				p := claimPool()
				zones := make([]ClaimZone, count)
				for i := range zones {
					zones[i] = ClaimZone{Name: fmt.Sprint("z", i), Reachable: true}
				}
				own := zones[side[0]].Name
				p.SetClaimZones(start, own, zones)
				p.ClaimRemote(start, zones[0].Name, "a", claimLimit/100)
				p.ClaimRemote(start, zones[count-1].Name, "a", claimLimit/50)
				for i := range zones {
					zones[i].Reachable = i >= side[0] && i < side[1]
				}
				p.SetClaimZones(start, own, zones)
				left += p.claimBuckets["a"].remaining
			}
			if all := (burstShare - 0.03) * claimLimit; left > all+1e-6 || left < all-1e-6 {
				t.Errorf("%d and %d zones together hold %g tokens of %g", reachable, count-reachable, left, all)
			}
		}
	}
}

// TestTakeoverBesideUnreachableZones guards against a new pool that learns what the reachable
// zones hold for what is left in all: it would refuse requests of organisations far below their
// limits until it has refilled.
func TestTakeoverBesideUnreachableZones(t *testing.T) {
	zones := func(reachable ...string) (list []ClaimZone) {
		for _, name := range []string{"a", "b", "c"} {
			list = append(list, ClaimZone{Name: name, Reachable: slices.Contains(reachable, name)})
		}
		return list
	}
	other := claimPool()
	other.SetClaimZones(start, "b", zones("b"))
	other.ReportAllClaims()
	left := 0
	other.TakeClaims(func(_ string, _, remaining int) { left = remaining })
	p := newTestPool(4, 1_000_000)
	p.SetClaimZones(start, "a", zones("a"))
	p.SetLimits(start, map[string]Limits{"a": {ClaimLimit: claimLimit, ClaimWindow: claimWindow, ClaimWhole: true}})
	p.SyncRemaining(start, "a", float64(left))
	p.SetClaimZones(start, "a", zones("a", "b", "c"))
	if c := p.claimBuckets["a"]; c.remaining < burstShare*claimLimit-1 {
		t.Errorf("%g tokens of %g are left once all zones are reachable", c.remaining, burstShare*claimLimit)
	}
}
