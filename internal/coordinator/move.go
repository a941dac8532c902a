package coordinator

import (
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

const (
	// moveInterval separates two looks for waiting requests to move, and maxMovesPerCheck
	// bounds what a pool moves at each.
	moveInterval     = 250 * time.Millisecond
	maxMovesPerCheck = 5
	// idleMoveInterval follows a look that moved nothing: digests come no sooner.
	idleMoveInterval = minDigestInterval
	// maxMoveCandidates bounds the waiting requests that are looked at.
	maxMoveCandidates = 128
	// maxRequestMoves bounds how often one request moves.
	maxRequestMoves = 3
	// minMoveStay is how long a request that came from another pool stays at least.
	minMoveStay = time.Second
	// moveRetryInterval separates two pieces of advice to a front that did not follow.
	moveRetryInterval = 2 * time.Second
	// minMoveGain must be won beyond the cost of the link and the age of the digest.
	minMoveGain = 200 * time.Millisecond
)

// RedirectCause says why a request is redirected.
type RedirectCause string

// The causes of redirections. All but the first concern requests that wait.
const (
	redirectOnArrival RedirectCause = "arrival"
	// redirectNoServer: no backend server here takes work.
	redirectNoServer RedirectCause = "no_server"
	// redirectRoom: the other pool could start the request at once.
	redirectRoom RedirectCause = "room"
	// redirectLowerWork: in the other pool only lower tiers run, and nothing waits
	// that goes first.
	redirectLowerWork RedirectCause = "lower_work"
	// redirectShorterWait: less waits before the request in the other pool.
	redirectShorterWait RedirectCause = "shorter_wait"
)

// redirectReasons explain the causes to people.
var redirectReasons = map[RedirectCause]string{
	redirectNoServer:    "no backend server takes work here",
	redirectRoom:        "another zone has room",
	redirectLowerWork:   "another zone runs lower work only",
	redirectShorterWait: "another zone has a shorter queue",
}

// moveCandidate is a waiting request as the decision sees it.
type moveCandidate struct {
	tier, tokens int
	// wait is the expected time until the grant in the own pool, unless stranded:
	// then no server takes work there.
	wait     time.Duration
	noServer bool
	// runTime is the expected time of the answer in the own pool, where a server does
	// so many tokens a second.
	runTime     time.Duration
	serverSpeed float64
	// waited is the time spent in the own pool, left the time to the deadline.
	waited, timeLeft time.Duration
}

// moveTarget is another pool as the decision sees it.
type moveTarget struct {
	load sched.Load
	// pendingTokens tokens were sent there and aren't in the load yet.
	pendingTokens int
	// cost is what a move must win.
	cost time.Duration
}

// evaluate returns how much earlier than in its own pool a request would end, less the
// cost, and why. A request gains nothing if it is not positive.
func (o *moveTarget) evaluate(c *moveCandidate) (gain time.Duration, cause RedirectCause) {
	if o.load.TokensPerSecond <= 0 {
		return 0, ""
	}
	need := o.pendingTokens + c.tokens
	backlogWait, lowerTokens := o.backlog(c.tier)
	ownWait, otherWait := c.wait, backlogWait+time.Duration(float64(need)/o.load.TokensPerSecond*float64(time.Second))
	cause = redirectShorterWait
	switch {
	case backlogWait == 0 && o.load.FreeTokens >= need:
		// A request that was passed over for long waits longer than its place says.
		ownWait, otherWait, cause = max(c.wait, c.waited), 0, redirectRoom
	case backlogWait == 0 && lowerTokens >= need:
		cause = redirectLowerWork
	}
	otherWait += o.extraRunTime(c)
	if otherWait+o.cost >= c.timeLeft {
		return 0, ""
	}
	if c.noServer {
		return c.timeLeft - otherWait - o.cost, redirectNoServer
	}
	return ownWait - otherWait - o.cost, cause
}

// extraRunTime returns how much longer the answer takes in the other pool; less than
// nothing where servers are faster. It is nothing while the own pool has no speed.
func (o *moveTarget) extraRunTime(c *moveCandidate) time.Duration {
	speed := tokensPerServer(&o.load)
	if speed <= 0 || c.serverSpeed <= 0 || c.noServer {
		return 0
	}
	return time.Duration(float64(c.runTime) * (c.serverSpeed/speed - 1))
}

// tokensPerServer returns the tokens that one server of a pool does in a second.
func tokensPerServer(l *sched.Load) float64 { return l.TokensPerSecond / float64(max(1, l.Servers)) }

// backlog returns the wait of the work that goes before a new request of a tier, and
// the tokens of the lower tiers that run.
func (o *moveTarget) backlog(tier int) (wait time.Duration, lowerTokens int) {
	for _, t := range o.load.Tiers {
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

// moveWaiting advises the fronts of waiting requests to ask in another zone where
// that promises an earlier end: the highest tier first and, in it, the request
// that is first in the order of grants. All behind it gain as much as if the last
// one had moved, and none is passed.
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

// movePool returns the number of requests whose fronts were advised.
func (s *State) movePool(now time.Time, ps *poolState) (moved int) {
	siblings := s.sampleSiblings(now, ps)
	if len(siblings) == 0 {
		return 0
	}
	checked, noServer := 0, !ps.sched.TakesWork()
	ps.sched.EachWaiting(func(w sched.Waiting) bool {
		checked++
		if e := ps.entries[w.ID]; e != nil && e.movable(now, &w, noServer) && s.adviseMove(now, e, &w, siblings, noServer) {
			moved++
		}
		return moved < maxMovesPerCheck && checked < maxMoveCandidates
	})
	return moved
}

// movable reports whether a waiting request may go to another pool. One for which
// lower work was revoked here, one that a server here holds and one that may crash
// servers stay.
func (e *entry) movable(now time.Time, w *sched.Waiting, noServer bool) bool {
	switch {
	case w.Server != "" || w.NoWait || e.suspect || w.Claims && !noServer:
		return false
	case e.moves >= maxRequestMoves:
		return false
	case e.redirected && now.Sub(e.queuedAt) < minMoveStay:
		return false
	}
	return e.advisedAt.IsZero() || now.Sub(e.advisedAt) >= moveRetryInterval
}

// adviseMove advises the front of a request to ask the sibling where it gains most, if
// it gains anywhere.
func (s *State) adviseMove(now time.Time, e *entry, w *sched.Waiting, siblings []*sibling, noServer bool) bool {
	c := moveCandidate{
		tier: w.Tier, tokens: w.Tokens, wait: w.Wait, noServer: noServer,
		waited: now.Sub(e.queuedAt), timeLeft: w.Deadline.Sub(now),
		runTime: w.Runs, serverSpeed: tokensPerServer(&e.pool.digest.load),
	}
	var best *sibling
	var maxGain time.Duration
	var bestCause RedirectCause
	for _, b := range siblings {
		o := moveTarget{load: b.load, pendingTokens: b.pendingTokens(), cost: s.moveCost(now, b)}
		if gain, cause := o.evaluate(&c); gain > maxGain {
			best, maxGain, bestCause = b, gain, cause
		}
	}
	if best == nil || e.pool.sched.HoldsPrompt(w.Prefixes) {
		return false
	}
	e.advisedAt = now
	best.redirectedTokens += w.Tokens
	s.redirectRequest(now, e, &message.Redirect{Zone: best.zone, Kept: true}, bestCause, redirectReasons[bestCause])
	return true
}

// moveCost is what a move to a sibling must win: the way there and back, and the
// time in which its load may have changed since its digest. One that is older than
// the longest interval has been followed by another that was lost.
func (s *State) moveCost(now time.Time, b *sibling) time.Duration {
	age := now.Sub(b.lastDigest)
	if age <= max(maxDigestInterval, s.digestInterval) {
		age = min(age, s.digestInterval)
	}
	return 2*s.linkDelay(b.zone) + age + minMoveGain
}
