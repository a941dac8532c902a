package coordinator

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

const (
	// moveInterval is the time between two move checks of a pool, and maxMovesPerCheck
	// limits the requests that move in each.
	moveInterval     = 250 * time.Millisecond
	maxMovesPerCheck = 5
	// idleMoveInterval is the time until the next check after one that moved nothing;
	// no new digest arrives sooner.
	idleMoveInterval = minDigestInterval
	// maxMoveCandidates limits the waiting requests that are checked.
	maxMoveCandidates = 128
	// maxRequestMoves limits how often one request moves.
	maxRequestMoves = 3
	// minMoveStay is how long a redirected request stays at least before it moves on.
	minMoveStay = time.Second
	// moveRetryInterval is how long after a redirection that the front did not follow
	// the same request may be redirected again.
	moveRetryInterval = 2 * time.Second
	// minMoveGain is the gain, beyond the cost of the link and the age of the digest,
	// that justifies a move.
	minMoveGain = 200 * time.Millisecond
)

// RedirectCause is why a request is redirected.
type RedirectCause string

// The causes of redirections. All but the first concern waiting requests.
const (
	redirectOnArrival RedirectCause = "arrival"
	// redirectNoServer: no backend server of this pool takes work.
	redirectNoServer RedirectCause = "no_server"
	// redirectFreeCapacity: the other pool has free capacity to start the request at once.
	redirectFreeCapacity RedirectCause = "room"
	// redirectLowerTiers: only lower tiers run in the other pool, and nothing waits
	// there that would be served before the request.
	redirectLowerTiers RedirectCause = "lower_work"
	// redirectShorterWait: the other pool has a smaller backlog.
	redirectShorterWait RedirectCause = "shorter_wait"
)

// redirectReasons are the texts of the causes in the decision log.
var redirectReasons = map[RedirectCause]string{
	redirectNoServer:     "no backend server takes work here",
	redirectFreeCapacity: "another zone has room",
	redirectLowerTiers:   "another zone runs lower work only",
	redirectShorterWait:  "another zone has a shorter queue",
}

// moveCandidate is a waiting request that may move to another pool.
type moveCandidate struct {
	tier, tokens int
	// wait is the expected time until the grant in this pool. It is unknown if noServer
	// is set, that is, if no server here takes work.
	wait     time.Duration
	noServer bool
	// runTime is the expected time from the grant to the end of the answer in this
	// pool, and serverSpeed the tokens per second of one server here.
	runTime     time.Duration
	serverSpeed float64
	// waited is the time spent in this pool, timeLeft the time to the deadline.
	waited, timeLeft time.Duration
}

// moveTarget is another pool that a waiting request may move to.
type moveTarget struct {
	load sched.Load
	// pendingTokens were redirected there and may not be in the load yet.
	pendingTokens int
	// cost is the minimum gain that justifies the move; see moveCost.
	cost time.Duration
}

// evaluate returns how much earlier than in its own pool a request would finish, less
// the cost, and the cause of the redirection. The request should stay if the gain is
// not positive.
func (target *moveTarget) evaluate(c *moveCandidate) (gain time.Duration, cause RedirectCause) {
	if target.load.TokensPerSecond <= 0 {
		return 0, ""
	}
	need := target.pendingTokens + c.tokens
	backlogWait, lowerTokens := target.backlog(c.tier)
	ownWait, otherWait := c.wait, backlogWait+time.Duration(float64(need)/target.load.TokensPerSecond*float64(time.Second))
	cause = redirectShorterWait
	switch {
	case backlogWait == 0 && target.load.FreeTokens >= need:
		// The request may have been overtaken in the queue, and have waited longer
		// than its position suggests.
		ownWait, otherWait, cause = max(c.wait, c.waited), 0, redirectFreeCapacity
	case backlogWait == 0 && lowerTokens >= need:
		cause = redirectLowerTiers
	}
	otherWait += target.extraRunTime(c)
	if otherWait+target.cost >= c.timeLeft {
		return 0, ""
	}
	if c.noServer {
		return c.timeLeft - otherWait - target.cost, redirectNoServer
	}
	return ownWait - otherWait - target.cost, cause
}

// extraRunTime returns how much longer the answer takes in the other pool; negative if
// its servers are faster, and 0 if either pool's speed is unknown.
func (target *moveTarget) extraRunTime(c *moveCandidate) time.Duration {
	speed := tokensPerServer(&target.load)
	if speed <= 0 || c.serverSpeed <= 0 || c.noServer {
		return 0
	}
	return time.Duration(float64(c.runTime) * (c.serverSpeed/speed - 1))
}

// tokensPerServer returns the speed of one server of a pool, in tokens per second.
func tokensPerServer(l *sched.Load) float64 { return l.TokensPerSecond / float64(max(1, l.Servers)) }

// backlog returns the wait behind the work that is served before a new request of a
// tier, and the running tokens of lower tiers.
func (target *moveTarget) backlog(tier int) (wait time.Duration, lowerTokens int) {
	for _, t := range target.load.Tiers {
		if t.Tier > tier {
			lowerTokens += t.RunningTokens
			continue
		}
		if t.WaitingTokens > 0 {
			wait = max(wait, t.Wait, 1)
		}
	}
	return wait, lowerTokens
}

// moveWaiting redirects waiting requests to another zone where they should finish
// earlier: the highest tier first and, within a tier, the first request in the order of
// grants. This shortens the queue as much as moving its last request would, and no
// request overtakes another.
func (s *State) moveWaiting(now time.Time) {
	for _, ps := range s.order {
		if len(ps.siblings) == 0 || ps.rebuilding || now.Before(ps.nextMoveCheck) {
			continue
		}
		ps.nextMoveCheck = now.Add(idleMoveInterval)
		if moved := s.movePool(now, ps); moved > 0 {
			ps.moved += moved
			ps.nextMoveCheck = now.Add(moveInterval)
		}
	}
}

// movePool returns the number of requests that were redirected.
func (s *State) movePool(now time.Time, ps *poolState) (moved int) {
	siblings := s.sampleSiblings(now, ps)
	if len(siblings) == 0 {
		return 0
	}
	checked, noServer := 0, !ps.sched.TakesWork()
	ps.sched.EachWaiting(func(w sched.WaitingRequest) bool {
		checked++
		if e := ps.entries[w.ID]; e != nil && e.movable(now, &w, noServer) && s.moveRequest(now, e, &w, siblings, noServer) {
			moved++
		}
		return moved < maxMovesPerCheck && checked < maxMoveCandidates
	})
	return moved
}

// movable reports whether a waiting request may move to another pool. Suspects,
// requests bound to a server here and requests that may not wait stay. So do requests
// that moved too recently or too often, and requests for which lower-tier work was
// revoked here, unless no server here takes work.
func (e *entry) movable(now time.Time, w *sched.WaitingRequest, noServer bool) bool {
	switch {
	case w.Server != "" || w.NoWait || e.suspect || w.AwaitsRevocation && !noServer:
		return false
	case e.moves >= maxRequestMoves:
		return false
	case e.redirected && now.Sub(e.queuedAt) < minMoveStay:
		return false
	}
	return e.redirectSentAt.IsZero() || now.Sub(e.redirectSentAt) >= moveRetryInterval
}

// moveRequest redirects a request to the sibling with the largest gain. It reports
// whether any sibling offers one.
func (s *State) moveRequest(now time.Time, e *entry, w *sched.WaitingRequest, siblings []*sibling, noServer bool) bool {
	c := moveCandidate{
		tier: w.Tier, tokens: w.Tokens, wait: w.Wait, noServer: noServer,
		waited: now.Sub(e.queuedAt), timeLeft: w.Deadline.Sub(now),
		runTime: w.RunTime, serverSpeed: tokensPerServer(&e.pool.digest.load),
	}
	saving := e.pool.sched.PrefixSaving(&w.Request)
	var best *sibling
	var maxGain time.Duration
	var bestCause RedirectCause
	for _, sib := range siblings {
		target := moveTarget{load: sib.load, pendingTokens: sib.pendingTokens(), cost: s.moveCost(now, sib) + saving}
		if gain, cause := target.evaluate(&c); gain > maxGain {
			best, maxGain, bestCause = sib, gain, cause
		}
	}
	if best == nil || !e.pool.sched.WeighsPrefixes() && e.pool.sched.CachesPrompt(w.Prefixes) {
		return false
	}
	e.redirectSentAt = now
	best.redirectedTokens += w.Tokens
	s.redirectRequest(now, e, &message.Redirect{Zone: best.zone, Kept: true}, bestCause, redirectReasons[bestCause])
	return true
}

// moveCost returns the minimum gain that justifies a move to a sibling: the round trip,
// the time in which the sibling's load may have changed since its digest, and
// minMoveGain. If the digest is older than the longest interval, a later digest was
// lost, and its whole age counts.
func (s *State) moveCost(now time.Time, sib *sibling) time.Duration {
	age := now.Sub(sib.lastDigest)
	if age <= max(maxDigestInterval, s.digestInterval) {
		age = min(age, s.digestInterval)
	}
	return 2*s.linkDelay(sib.zone) + age + minMoveGain
}
