package sched

import (
	"strconv"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/retryslot"
	"mimosafront/internal/settings"
)

// Pool orders the requests of one pool and tracks what runs on its servers.
//
// Invariants: a request waits or holds one grant, never both; the tokens in
// flight on a server are the sum over its grants; a request is refused only as
// shed.go and bound.go say.
type Pool struct {
	config         Config
	queue          *queue
	servers        []*server
	byName         map[string]*server
	grants         map[string]*running
	grantByRequest map[string]*running
	cache          *prefixIndex
	estimate       estimator
	quotas         map[string]*quota
	usage          map[UsageKey]int
	// claimBucket are what organisations take of their rate limits, claimed the
	// organisations whose claims changed since TakeClaims.
	claimBuckets  map[string]*claimBucket
	changedClaims []string
	claimShare    float64
	// changedUsage accounts were served since the last TakeUsage, oldest first.
	changedUsage []UsageKey
	usageChanged map[UsageKey]bool
	// runningByTier counts grants that aren't revoked.
	runningByTier [MaxTiers]int
	// preemptingByTier counts, by tier, urgent requests for which lower work gives way.
	preemptingByTier [MaxTiers]int
	// excess is what the queue holds beyond its bounds against revoked grants.
	excess excess
	// cycleReservedTier is the tier for which servers are kept free in this cycle.
	cycleReservedTier int
	// cycleReserved are the servers that were kept free in this cycle.
	cycleReserved []*server
	// reservedByTier counts, by tier, the requests for which a server is kept free.
	reservedByTier [MaxTiers]int
	free           freeCapacity
	headroom       headroom
	// retryReservations tells refused requests when to come back.
	retryReservations *retryslot.Calendar
	// remoteRate is the work of the other zones' pools, in tokens a second.
	remoteRate float64
	// reachable is when the grants of a front were last heard of.
	lastSeen map[string]time.Time
	// rebuilding pools don't know all that runs on their servers.
	rebuilding bool
	// roundRobinIndex is the last server of the round robin.
	roundRobinIndex int
	lastGrantNumber uint64
	// callTime is the time of the present call, where requests may be refused in it.
	callTime  time.Time
	lastCheck time.Time
	lastPrune time.Time
	// lastAvailable is when a server last took work.
	lastAvailable time.Time
	// quotaBlocked organisations wait for their quota.
	quotaBlocked []*organisationQueue
	actions      []Action
	// slownessBuffer and victims are scratch.
	slownessBuffer []float64
	victimsBuffer  []*running
}

// NewPool returns an empty pool.
func NewPool(c Config) *Pool {
	return &Pool{
		config:            c,
		rebuilding:        c.Rebuilding,
		queue:             newQueue(),
		byName:            map[string]*server{},
		grants:            map[string]*running{},
		grantByRequest:    map[string]*running{},
		cache:             newPrefixIndex(),
		quotas:            map[string]*quota{},
		usage:             map[UsageKey]int{},
		claimBuckets:      map[string]*claimBucket{},
		claimShare:        1,
		usageChanged:      map[UsageKey]bool{},
		lastSeen:          map[string]time.Time{},
		retryReservations: retryslot.New(c.Seed),
	}
}

// fair reports whether the pool runs the product's algorithm, not a baseline.
func (p *Pool) fair() bool {
	return p.config.Algorithm == settings.SchedulerAlgorithmFair || p.config.Algorithm == ""
}

// SetServers replaces the servers of the pool. What runs on servers that are
// gone is counted no more; their fronts still finish it.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	p.callTime = now
	old := p.byName
	p.byName = make(map[string]*server, len(servers))
	p.servers = p.servers[:0]
	for _, described := range servers {
		s := old[described.Name]
		if s == nil || s.Hardware != described.Hardware || s.TokensInFlight != described.TokensInFlight {
			s = p.resetServer(s, described)
		}
		s.Server, s.index = described, len(p.servers)
		p.servers = append(p.servers, s)
		p.byName[s.Name] = s
		delete(old, s.Name)
	}
	for _, s := range old {
		p.dropServer(s)
	}
	p.free.allStale = true
	p.estimate.refresh(p.servers)
	p.refuseStranded()
	p.schedule(now)
}

// resetServer starts the learned values of a server from its description.
func (p *Pool) resetServer(s *server, described Server) *server {
	if s == nil {
		s = &server{}
	}
	s.limit = newLimit(described.TokensInFlight, p.initialStreams(described))
	s.speed = newSpeed(described, p.config.Service)
	if s.limit.streams > 0 {
		s.speed.gap = min(s.speed.gap, s.limit.streams/described.DecodeTokensPerS)
	}
	return s
}

// initialStreams returns how many streams a server is given at first.
func (p *Pool) initialStreams(s Server) float64 {
	if p.config.Service || !p.fair() {
		return 0
	}
	return initialStreamShare * p.config.GapTarget.Seconds() * s.DecodeTokensPerS
}

func (p *Pool) dropServer(s *server) {
	p.releaseServer(s)
	for len(s.grants) > 0 {
		p.endGrant(s.grants[0])
	}
	p.cache.purge(s)
}

// Add queues a request, or refuses it.
func (p *Pool) Add(now time.Time, r Request) {
	if p.queue.byID[r.ID] != nil || p.grantByRequest[r.ID] != nil {
		return
	}
	p.callTime = now
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	w := p.newWaiter(r)
	p.redeemReservation(now, w)
	if p.admit(now, w) {
		w.wake = p.nextWake(w)
		p.queue.push(w)
		p.recordArrival(w)
		p.quotaFor(w.caller, w.Request).waiting++
		p.addWaitingClaim(w.Request, 1)
	}
	p.scheduleAndExpire(now)
	if w.NoWait && p.queue.byID[r.ID] == w {
		p.endWait(now, w, message.RefusalReasonShed, "its entry host has no memory to hold it")
		p.schedule(now)
	}
}

// updateHeaps hands out grants, and again after requests that became urgent or
// expired changed what is kept free.
func (p *Pool) scheduleAndExpire(now time.Time) {
	p.schedule(now)
	if p.expireDue(now) {
		p.schedule(now)
	}
}

func (p *Pool) newWaiter(r Request) *waiter {
	w := &waiter{Request: &r, tokens: p.tokensOf(&r), effectiveArrival: r.Arrived}
	if p.fair() {
		w.tier, w.organisation, w.callerName = tierIndex(r.Tier), r.Organisation, r.Caller
	}
	return w
}

func (p *Pool) tokensOf(r *Request) int {
	if p.config.Service {
		return 1
	}
	return max(1, r.PromptTokens+r.OutputTokens)
}

// Withdraw drops a waiting request. It reports whether the request waited.
func (p *Pool) Withdraw(now time.Time, id string) bool {
	w := p.queue.byID[id]
	if w == nil {
		return false
	}
	p.dequeue(w)
	p.schedule(now)
	return true
}

// dequeue takes a request out of the queue and frees what was kept for it.
func (p *Pool) dequeue(w *waiter) {
	p.queue.remove(w)
	w.stopAwaiting()
	p.quotaFor(w.caller, w.Request).waiting--
	p.addWaitingClaim(w.Request, -1)
	if w.preempting {
		p.preemptingByTier[w.tier]--
	}
	p.excess.shrink(p.queue.waiting-p.config.MaxWaiting, p.queue.tokens-p.config.MaxWaitingTokens)
	if w.reservedServer != nil {
		p.releaseServer(w.reservedServer)
	}
}

// HostSeen notes that a front is alive, which makes the silence of its grants a
// fault of the server.
func (p *Pool) HostSeen(now time.Time, host string) { p.lastSeen[host] = now }

// Release ends a grant. It reports whether the grant was known.
func (p *Pool) Release(now time.Time, grant string, r Result) bool {
	g := p.grants[grant]
	if g == nil {
		return false
	}
	s := g.server
	p.learn(now, g, r)
	p.endGrant(g)
	if r.Outcome.NeverRan() {
		p.takeClaim(now, g.Request, -1)
	}
	work := p.workDone(g, r)
	p.charge(now, g, work-g.charged)
	p.countUsage(g, int(work))
	p.observeOutcome(now, s, r.Outcome)
	p.schedule(now)
	return true
}

// endGrant takes a grant off its server.
func (p *Pool) endGrant(g *running) {
	g.server.remove(g)
	p.markStale(g.server)
	delete(p.grants, g.id)
	delete(p.grantByRequest, g.ID)
	g.account.running--
	g.account.organisation.running--
	if !g.revoked {
		p.runningByTier[g.tier]--
	}
}

// Restore counts a grant that another coordinator handed out, or this one
// before. It reports whether the server is known.
func (p *Pool) Restore(now time.Time, id, serverName string, r Request, outputTokens int) bool {
	s := p.byName[serverName]
	if s == nil || p.grants[id] != nil || p.grantByRequest[r.ID] != nil {
		return false
	}
	if w := p.queue.byID[r.ID]; w != nil {
		p.dequeue(w)
	}
	g := p.addGrant(now, id, p.newWaiter(r), placement{server: s, uncached: r.PromptTokens})
	if outputTokens > 0 {
		g.outputTokens = outputTokens
		s.recordFirstToken(g)
	}
	return true
}

// addGrant counts a new grant.
func (p *Pool) addGrant(now time.Time, id string, w *waiter, c placement) *running {
	account := w.caller
	if account == nil {
		account = p.queue.organisation(w.tier, w.organisation).caller(w.callerName)
	}
	g := &running{
		Request: w.Request, id: id, tier: w.tier, server: c.server, account: account, grantedAt: now, lastProgress: now,
		tokens: w.tokens, queuedPrefill: c.server.prefill, uncached: c.uncached, expected: c.total,
	}
	g.hasFirstToken = g.PromptTokens == 0
	account.running++
	account.organisation.running++
	c.server.add(g)
	p.markStale(c.server)
	c.server.limit.trackPeak(now, c.server.tokens)
	p.grants[id] = g
	p.grantByRequest[g.ID] = g
	p.runningByTier[g.tier]++
	p.charge(now, g, float64(w.tokens))
	return g
}

// charge adds work to the counters and the quota of a grant's organisation.
func (p *Pool) charge(now time.Time, g *running, tokens float64) {
	g.charged += tokens
	g.account.charge(tokens)
	p.quotaFor(g.account, g.Request).spend(now, tokens)
}

// Report notes a server's load report.
func (p *Pool) Report(now time.Time, name string, r LoadReport) {
	if s := p.byName[name]; s != nil && !p.config.Service {
		s.limit.report(now, r)
		p.markStale(s)
	}
}

// Tick refuses what has expired, judges the servers and schedules.
func (p *Pool) Tick(now time.Time) {
	p.callTime = now
	p.checkServers(now)
	p.refreshHeadroom(now)
	p.free.allStale = true
	p.refuseWithoutServers(now)
	p.unblockQuota(now)
	p.refuseInfeasible(now)
	p.scheduleAndExpire(now)
	p.prune(now)
}

// pruneInterval separates two searches for accounts that can be forgotten.
const pruneInterval = time.Second

func (p *Pool) prune(now time.Time) {
	if now.Before(p.lastPrune.Add(pruneInterval)) {
		return
	}
	p.lastPrune = now
	p.retryReservations.Advance(now)
	p.queue.prune()
	p.pruneQuotas(now)
	for host, seen := range p.lastSeen {
		if now.Sub(seen) > time.Minute {
			delete(p.lastSeen, host)
		}
	}
}

// TakeActions returns what was decided since the last call.
func (p *Pool) TakeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) act(a Action) {
	a.LowestTier = p.lowestTier()
	p.actions = append(p.actions, a)
}

// GrantOf returns the grant that a request holds.
func (p *Pool) GrantOf(request string) (id, server string, ok bool) {
	g := p.grantByRequest[request]
	if g == nil {
		return "", "", false
	}
	return g.id, g.server.Name, true
}

// IsWaiting reports whether a request waits.
func (p *Pool) IsWaiting(request string) bool { return p.queue.byID[request] != nil }

// Revoke takes a grant back. It reports whether the grant was known and not yet
// revoked.
func (p *Pool) Revoke(grant, reason string) bool {
	g := p.grants[grant]
	if g == nil || g.revoked {
		return false
	}
	p.revoke(g, reason)
	return true
}

// Requeue ends a grant that never reached its front and lets the request wait
// again.
func (p *Pool) Requeue(now time.Time, grant string) {
	g := p.grants[grant]
	if g == nil {
		return
	}
	p.endGrant(g)
	p.charge(now, g, -g.charged)
	p.Add(now, *g.Request)
}

// SetRebuilding limits new grants while the pool doesn't know all that runs on
// its servers.
func (p *Pool) SetRebuilding(now time.Time, rebuilding bool) {
	p.rebuilding = rebuilding
	p.free.allStale = true
	p.schedule(now)
}

func (p *Pool) grantID() string {
	p.lastGrantNumber++
	return p.config.GrantPrefix + strconv.FormatUint(p.lastGrantNumber, 36)
}
