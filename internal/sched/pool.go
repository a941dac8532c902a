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
// Invariants: a request waits or holds one grant, never both; the tokens in flight on a
// server are the sum over its grants; requests are refused only by the rules of
// admission.go, queuelimit.go, feasibility.go, park.go and shed.go.
type Pool struct {
	config         Config
	queue          *queue
	servers        []*server
	byName         map[string]*server
	grants         map[string]*running
	grantByRequest map[string]*running
	cache          *prefixIndex
	// pendingPrefixes is the accuracy of the estimates that rest on prefixes yet to be
	// computed, and prefixCounts counts all estimates.
	pendingPrefixes prefixAccuracy
	prefixCounts    PrefixCounts
	estimate        estimator
	quotas          map[string]*quota
	// usage is the total of served tokens by account.
	usage map[UsageKey]int
	// claimBuckets are the rate limits by organisation. changedClaims lists the
	// organisations whose claims changed since the last TakeClaims.
	claimBuckets  map[string]*claimBucket
	changedClaims []string
	// changedOwnClaims lists those whose claims in this pool changed since the last
	// TakeOwnClaims.
	changedOwnClaims []string
	// claimZones are the zones that divide the rate limits, and ownZone the own one.
	claimZones []ClaimZone
	ownZone    string
	// changedUsage lists the accounts served since the last TakeUsage, oldest first;
	// inChangedUsage is the same as a set.
	changedUsage   []UsageKey
	inChangedUsage map[UsageKey]bool
	// runningByTier counts the grants that aren't revoked.
	runningByTier [MaxTiers]int
	// preemptingByTier counts the waiting requests that are preempting.
	preemptingByTier [MaxTiers]int
	// excess is how far the queue may exceed its limits because of revoked grants.
	excess excess
	// cycleReservedTier is the tier for which servers are reserved in this scheduling
	// cycle.
	cycleReservedTier int
	// cycleReserved are the servers reserved in this scheduling cycle.
	cycleReserved []*server
	// reservedByTier counts the requests with a reserved server.
	reservedByTier [MaxTiers]int
	free           freeCapacity
	headroom       headroom
	// retryReservations assigns retry times to refused requests.
	retryReservations *retryslot.Reservations
	// lastArrival is when a request of each tier last arrived.
	lastArrival [MaxTiers]time.Time
	// meanTokens is the mean size of granted requests, in tokens.
	meanTokens float64
	// remoteRate is the throughput of the other zones' pools, in tokens per second.
	remoteRate float64
	// lastSeen is when a frame from an entry host last arrived.
	lastSeen map[string]time.Time
	// rebuilding pools don't know all requests that run on their servers.
	rebuilding bool
	// searchStart is where the search for a server begins, modulo their number. It differs
	// between pools, so that those of hosts that don't know each other yet choose
	// different ones of equal servers.
	searchStart int
	// roundRobinIndex is the server last chosen by round robin.
	roundRobinIndex int
	lastGrantNumber uint64
	// callTime is the time of the current call, set by calls that may refuse requests.
	callTime  time.Time
	lastCheck time.Time
	lastPrune time.Time
	// lastAvailable is the last time at which a server was available for grants.
	lastAvailable time.Time
	// quotaBlocked organisations wait for their quota to refill.
	quotaBlocked []*organisationQueue
	actions      []Action
	// slownessBuffer and victimsBuffer are reused buffers.
	slownessBuffer []float64
	victimsBuffer  []*running
}

// maxSearchStart is above any number of servers of a pool by far.
const maxSearchStart = 1 << 20

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
		pendingPrefixes:   prefixAccuracy{wrong: pendingWrongShare},
		quotas:            map[string]*quota{},
		usage:             map[UsageKey]int{},
		claimBuckets:      map[string]*claimBucket{},
		inChangedUsage:    map[UsageKey]bool{},
		lastSeen:          map[string]time.Time{},
		retryReservations: retryslot.New(c.Seed),
		searchStart:       int(c.Seed % maxSearchStart),
	}
}

// fair reports whether the pool runs the fair algorithm instead of a baseline.
func (p *Pool) fair() bool {
	return p.config.Algorithm == settings.SchedulerAlgorithmFair || p.config.Algorithm == ""
}

// SetServers replaces the servers of the pool. Grants on removed servers are dropped;
// their fronts still finish them.
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
		if p.config.PrefixWeighing && s.lostMemory(now, described) {
			p.cache.purge(s)
		}
		s.Server, s.index = described, len(p.servers)
		s.pace.set(now, described, p.config.ColdOverage)
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
	p.refuseEvacuated()
	p.schedule(now)
}

// resetServer sets a server's learned values to those of its description.
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

// initialStreams returns the initial stream limit of a server; 0 means no limit.
func (p *Pool) initialStreams(s Server) float64 {
	if p.config.Service || !p.fair() {
		return 0
	}
	return initialStreamShare * p.config.GapTarget.Seconds() * s.DecodeTokensPerS
}

// dropServer ends the grants of a removed server and drops its prefixes.
func (p *Pool) dropServer(s *server) {
	p.releaseServer(s)
	for len(s.grants) > 0 {
		p.endGrant(s.grants[0])
	}
	p.cache.purge(s)
}

// Add queues, grants or refuses a request. A request that waits or runs is ignored.
func (p *Pool) Add(now time.Time, r Request) {
	if p.queue.byID[r.ID] != nil || p.grantByRequest[r.ID] != nil {
		return
	}
	p.callTime = now
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	w := p.newWaiter(r)
	p.lastArrival[w.tier] = now
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

// scheduleAndExpire schedules and then processes the requests that became urgent or
// expired. If that may have changed the reserved servers, it schedules again.
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

// tokensOf returns the estimated work of a request in tokens.
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

// dequeue removes a request from the queue and releases its reserved server.
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

// HostSeen records that an entry host is alive, so that missing progress of its grants
// is attributed to the backend server.
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
	if r.Outcome.NeverSent() {
		s.pace.giveBack(now, g.grantedAt)
	}
	work := p.workDone(g, r)
	p.charge(now, g, work-g.charged)
	p.countUsage(g, int(work))
	if r.Outcome == message.ReleaseOutcomeServerCrashed && p.config.PrefixWeighing {
		p.cache.purge(s)
	}
	p.observeOutcome(now, s, r.Outcome)
	p.schedule(now)
	return true
}

// endGrant removes a grant from its server.
func (p *Pool) endGrant(g *running) {
	g.server.remove(g)
	p.releasePrefixes(g)
	p.markStale(g.server)
	delete(p.grants, g.id)
	delete(p.grantByRequest, g.ID)
	g.account.running--
	g.account.organisation.running--
	if !g.revoked {
		p.runningByTier[g.tier]--
	}
}

// Restore adds a grant issued by another coordinator, or by this one earlier. It reports
// whether the grant was added: the server must be known, and neither the grant nor a
// grant of the request may exist.
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
		p.prefixesComputed(now, g)
	}
	return true
}

// addGrant adds a new grant to its server and account.
func (p *Pool) addGrant(now time.Time, id string, w *waiter, c placement) *running {
	account := w.caller
	if account == nil {
		account = p.queue.organisation(w.tier, w.organisation).caller(w.callerName)
	}
	g := &running{
		Request: w.Request, id: id, tier: w.tier, server: c.server, account: account, grantedAt: now, lastProgress: now,
		tokens: w.tokens, queuedPrefill: c.server.prefill, uncached: c.uncached, expected: c.total,
		held: c.held,
	}
	g.hasFirstToken = g.PromptTokens == 0
	account.running++
	account.organisation.running++
	c.server.add(g)
	p.holdPrefixes(now, g)
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

// Report applies a server's load report.
func (p *Pool) Report(now time.Time, name string, r LoadReport) {
	if s := p.byName[name]; s != nil && !p.config.Service {
		s.limit.report(now, r)
		p.markStale(s)
	}
}

// Tick refuses expired requests, checks the servers and schedules.
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

// pruneInterval is the interval between sweeps of prune.
const pruneInterval = time.Second

// prune deletes expired reservations and unused accounts, quotas and entry hosts.
func (p *Pool) prune(now time.Time) {
	if now.Before(p.lastPrune.Add(pruneInterval)) {
		return
	}
	p.lastPrune = now
	p.retryReservations.Expire(now)
	p.queue.prune()
	p.pruneQuotas(now)
	for host, seen := range p.lastSeen {
		if now.Sub(seen) > time.Minute {
			delete(p.lastSeen, host)
		}
	}
}

// TakeActions returns the decisions since the last call.
func (p *Pool) TakeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// act records a decision.
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

// Revoke revokes a grant. It reports whether the grant was known and not yet revoked.
func (p *Pool) Revoke(grant, reason string) bool {
	g := p.grants[grant]
	if g == nil || g.revoked {
		return false
	}
	p.revoke(g, reason)
	return true
}

// Requeue ends a grant that never reached its front and queues the request again.
func (p *Pool) Requeue(now time.Time, grant string) {
	g := p.grants[grant]
	if g == nil {
		return
	}
	p.endGrant(g)
	g.server.pace.giveBack(now, g.grantedAt)
	p.charge(now, g, -g.charged)
	p.Add(now, *g.Request)
}

// SetRebuilding limits new grants while the pool doesn't know all requests that run on
// its servers.
func (p *Pool) SetRebuilding(now time.Time, rebuilding bool) {
	p.rebuilding = rebuilding
	p.free.allStale = true
	p.schedule(now)
}

// grantID returns a new grant id.
func (p *Pool) grantID() string {
	p.lastGrantNumber++
	return p.config.GrantPrefix + strconv.FormatUint(p.lastGrantNumber, 36)
}
