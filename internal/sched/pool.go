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
	config   Config
	queue    *queue
	servers  []*server
	byName   map[string]*server
	grants   map[string]*running
	holders  map[string]*running
	cache    *prefixIndex
	estimate estimator
	quotas   map[string]*quota
	usage    map[UsageKey]int
	// claims are what organisations take of their rate limits, claimed the
	// organisations whose claims changed since TakeClaims.
	claims     map[string]*claims
	claimed    []string
	claimShare float64
	// changed accounts were served since the last TakeUsage, oldest first.
	changed   []UsageKey
	isChanged map[UsageKey]bool
	// runningByTier counts grants that aren't revoked.
	runningByTier [MaxTiers]int
	// pressing counts, by tier, urgent requests for which lower work gives way.
	pressing [MaxTiers]int
	// excess is what the queue holds beyond its bounds against revoked grants.
	excess excess
	// reservedTier is the tier for which servers are kept free in this cycle.
	reservedTier int
	// reserved are the servers that were kept free in this cycle.
	reserved []*server
	// pins counts, by tier, the requests for which a server is kept free.
	pins     [MaxTiers]int
	free     freeRoom
	headroom headroom
	// returns tells refused requests when to come back.
	returns *retryslot.Reservations
	// remoteRate is the work of the other zones' pools, in tokens a second.
	remoteRate float64
	// heard is when the grants of a front were last heard of.
	heard map[string]time.Time
	// rebuilding pools don't know all that runs on their servers.
	rebuilding bool
	// turn is the last server of the round robin.
	turn int
	next uint64
	// now is the time of the present call, where requests may be refused in it.
	now     time.Time
	checked time.Time
	pruned  time.Time
	// lastServed is when a server last took work.
	lastServed time.Time
	// parked organisations wait for their quota.
	parked  []*organisationQueue
	actions []Action
	// slowness and victims are scratch.
	slowness []float64
	victims  []*running
}

// NewPool returns an empty pool.
func NewPool(c Config) *Pool {
	return &Pool{
		config:     c,
		rebuilding: c.Rebuilding,
		queue:      newQueue(),
		byName:     map[string]*server{},
		grants:     map[string]*running{},
		holders:    map[string]*running{},
		cache:      newPrefixIndex(),
		quotas:     map[string]*quota{},
		usage:      map[UsageKey]int{},
		claims:     map[string]*claims{},
		claimShare: 1,
		isChanged:  map[UsageKey]bool{},
		heard:      map[string]time.Time{},
		returns:    retryslot.New(c.Seed),
	}
}

// fair reports whether the pool runs the product's algorithm, not a baseline.
func (p *Pool) fair() bool {
	return p.config.Algorithm == settings.SchedulerAlgorithmFair || p.config.Algorithm == ""
}

// SetServers replaces the servers of the pool. What runs on servers that are
// gone is counted no more; their fronts still finish it.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	p.now = now
	old := p.byName
	p.byName = make(map[string]*server, len(servers))
	p.servers = p.servers[:0]
	for _, described := range servers {
		s := old[described.Name]
		if s == nil || s.Hardware != described.Hardware || s.TokensInFlight != described.TokensInFlight {
			s = p.renew(s, described)
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

// renew starts the learned values of a server from its description.
func (p *Pool) renew(s *server, described Server) *server {
	if s == nil {
		s = &server{}
	}
	s.limit = newLimit(described.TokensInFlight, p.firstStreams(described))
	s.speed = newSpeed(described, p.config.Service)
	if s.limit.streams > 0 {
		s.speed.gap = min(s.speed.gap, s.limit.streams/described.DecodeTokensPerS)
	}
	return s
}

// firstStreams returns how many streams a server is given at first.
func (p *Pool) firstStreams(s Server) float64 {
	if p.config.Service || !p.fair() {
		return 0
	}
	return streamShare * p.config.GapTarget.Seconds() * s.DecodeTokensPerS
}

func (p *Pool) dropServer(s *server) {
	p.unpin(s)
	for len(s.grants) > 0 {
		p.end(s.grants[0])
	}
	p.cache.forget(s)
}

// Add queues a request, or refuses it.
func (p *Pool) Add(now time.Time, r Request) {
	if p.queue.byID[r.ID] != nil || p.holders[r.ID] != nil {
		return
	}
	p.now = now
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	w := p.newWaiter(r)
	p.redeem(now, w)
	if p.admit(now, w) {
		w.wake = p.nextWake(w)
		p.queue.push(w)
		p.noteArrival(w)
		p.quotaFor(w.caller, w.Request).waiting++
		p.claimWaiting(w.Request, 1)
	}
	p.settle(now)
	if w.NoWait && p.queue.byID[r.ID] == w {
		p.endWait(now, w, message.RefusalReasonShed, "its entry host has no memory to hold it")
		p.schedule(now)
	}
}

// settle hands out grants, and again after requests that became urgent or
// expired changed what is kept free.
func (p *Pool) settle(now time.Time) {
	p.schedule(now)
	if p.expireDue(now) {
		p.schedule(now)
	}
}

func (p *Pool) newWaiter(r Request) *waiter {
	w := &waiter{Request: &r, tokens: p.tokensOf(&r), since: r.Arrived}
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
	w.unclaim()
	p.quotaFor(w.caller, w.Request).waiting--
	p.claimWaiting(w.Request, -1)
	if w.pressing {
		p.pressing[w.tier]--
	}
	p.excess.shrink(p.queue.waiting-p.config.MaxWaiting, p.queue.tokens-p.config.MaxWaitingTokens)
	if w.pin != nil {
		p.unpin(w.pin)
	}
}

// Heard notes that a front is alive, which makes the silence of its grants a
// fault of the server.
func (p *Pool) Heard(now time.Time, host string) { p.heard[host] = now }

// Release ends a grant. It reports whether the grant was known.
func (p *Pool) Release(now time.Time, grant string, r Result) bool {
	g := p.grants[grant]
	if g == nil {
		return false
	}
	s := g.server
	p.learn(now, g, r)
	p.end(g)
	if r.Outcome.NeverRan() {
		p.claim(now, g.Request, -1)
	}
	work := p.workDone(g, r)
	p.charge(now, g, work-g.charged)
	p.count(g, int(work))
	p.observeOutcome(now, s, r.Outcome)
	p.schedule(now)
	return true
}

// end takes a grant off its server.
func (p *Pool) end(g *running) {
	g.server.remove(g)
	p.markStale(g.server)
	delete(p.grants, g.id)
	delete(p.holders, g.ID)
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
	if s == nil || p.grants[id] != nil || p.holders[r.ID] != nil {
		return false
	}
	if w := p.queue.byID[r.ID]; w != nil {
		p.dequeue(w)
	}
	g := p.hold(now, id, p.newWaiter(r), placement{server: s, uncached: r.PromptTokens})
	if outputTokens > 0 {
		g.outputTokens = outputTokens
		s.deliver(g)
	}
	return true
}

// hold counts a new grant.
func (p *Pool) hold(now time.Time, id string, w *waiter, c placement) *running {
	account := w.caller
	if account == nil {
		account = p.queue.organisation(w.tier, w.organisation).caller(w.callerName)
	}
	g := &running{
		Request: w.Request, id: id, tier: w.tier, server: c.server, account: account, granted: now, progressed: now,
		tokens: w.tokens, ahead: c.server.prefill, uncached: c.uncached, expected: c.total,
	}
	g.firstToken = g.PromptTokens == 0
	account.running++
	account.organisation.running++
	c.server.add(g)
	p.markStale(c.server)
	c.server.limit.track(now, c.server.tokens)
	p.grants[id] = g
	p.holders[g.ID] = g
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
	p.now = now
	p.checkServers(now)
	p.refreshHeadroom(now)
	p.free.allStale = true
	p.refuseUnserved(now)
	p.unpark(now)
	p.refuseHopeless(now)
	p.settle(now)
	p.prune(now)
}

// pruneInterval separates two searches for accounts that can be forgotten.
const pruneInterval = time.Second

func (p *Pool) prune(now time.Time) {
	if now.Before(p.pruned.Add(pruneInterval)) {
		return
	}
	p.pruned = now
	p.returns.Expire(now)
	p.queue.prune()
	p.pruneQuotas(now)
	for host, heard := range p.heard {
		if now.Sub(heard) > time.Minute {
			delete(p.heard, host)
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
	g := p.holders[request]
	if g == nil {
		return "", "", false
	}
	return g.id, g.server.Name, true
}

// Waits reports whether a request waits.
func (p *Pool) Waits(request string) bool { return p.queue.byID[request] != nil }

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
	p.end(g)
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
	p.next++
	return p.config.GrantPrefix + strconv.FormatUint(p.next, 36)
}
