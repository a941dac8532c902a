package coordinator

import (
	"time"

	"mimosafront/internal/message"
)

// The claims that rate limits count are known to the coordinators of a target's pools, and
// a new one learns what is left from the others. Load: all entry hosts restart at once, so
// that nobody knows, and the clients whose requests broke off come back within a second. A
// new pool has no burst then, and organisations far below their limits would be refused for
// seconds. If all coordinators of a target are new, each begins with a part of the slack
// that operators tolerate beyond the limits, counted once for all of them.

const (
	// startSlackShare is the share of the slack that the pools may grant at first. What
	// they grant before they hear of each other comes on top.
	startSlackShare = 0.4
	// freshTime is how long the coordinators of a target may have known claims for to count
	// as new: hosts that restart together learn of each other within it.
	freshTime = 500 * time.Millisecond
)

// claimKnowledge is what a pool knows of the claims before it was taken over.
type claimKnowledge struct {
	// since is when the oldest known claims were made, by any coordinator of the target
	// that the pool heard of, directly or through others.
	since time.Time
	// givesStart is set if new pools may begin with a part of the slack.
	givesStart bool
	// started is set once StartClaims was called.
	started bool
}

// knownMs returns how long claims have been known for, in milliseconds, at least 1.
func (k *claimKnowledge) knownMs(now time.Time) int {
	return max(1, int(now.Sub(k.since).Milliseconds()))
}

// learn adopts the knowledge of another coordinator. Hosts that don't tell count as knowing
// all.
func (k *claimKnowledge) learn(now time.Time, d *message.Digest) {
	since := now.Add(-time.Duration(d.ClaimsKnownMs) * time.Millisecond)
	if d.ClaimsKnownMs <= 0 {
		since = time.Time{}
	}
	if since.Before(k.since) {
		k.since = since
	}
}

// startsAfresh reports whether the sender of a digest is too new to know what is left of the
// rate limits, and begins with a part of the slack.
func (k *claimKnowledge) startsAfresh(d *message.Digest) bool {
	return k.givesStart && d.ClaimsKnownMs > 0 && d.ClaimsKnownMs < int(freshTime.Milliseconds())
}

// startClaims gives a new pool its first tokens once the coordinators of all zones have
// reported and none of them knows earlier claims.
func (ps *poolState) startClaims(now time.Time) {
	if ps.claims.started || now.Sub(ps.takenOverAt) >= claimSyncTime || len(ps.zones) < 2 {
		return
	}
	reported := 1
	for _, sib := range ps.siblings {
		if !sib.lastDigest.IsZero() {
			reported++
		}
	}
	if reported < len(ps.zones) || ps.takenOverAt.Sub(ps.claims.since) >= freshTime {
		return
	}
	ps.claims.started = true
	ps.sched.StartClaims(now)
}
