package coordinator

import (
	"cmp"
	"slices"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sched"
	"mimosafront/internal/settings"
)

const (
	// minDigestInterval and maxDigestInterval bound the interval between two digests of
	// a pool: the first applies while the load changes, the second while it does not.
	minDigestInterval = time.Second
	maxDigestInterval = 3 * time.Second
	// digestSpacing times the number of siblings of all pools is a lower limit for both
	// intervals, so that a host sends at most 10 digests a second.
	digestSpacing = 100 * time.Millisecond
	// claimInterval is the minimum interval between two digests while organisations
	// claim tokens of their rate limits. It limits how stale the claims are that other
	// zones have on record.
	claimInterval = 150 * time.Millisecond
	// takeoverDigests is the number of digests after a takeover whose claims count in
	// full at siblings that have received none before: so soon after the takeover, none
	// of the claims is counted there yet.
	takeoverDigests = 3
	// claimSyncTime is how long a pool that was taken over adopts the remaining rate
	// limits that its siblings report: long enough for several digests of each.
	claimSyncTime = 2 * time.Second
	// siblingTimeout is the silence, beyond maxDigestInterval, after which a sibling
	// counts as unreachable for the share of the rate limits.
	siblingTimeout = 2 * time.Second
	// quietDigestInterval limits the interval of a pool that gets no redirected asks:
	// if one of its digests is lost, the one before it is still within digestTTL.
	quietDigestInterval = digestTTL / 2
	// maxSiblingsAtFullRate is the number of siblings up to which a pool without
	// redirected asks sends digests as often as other pools.
	maxSiblingsAtFullRate = 4
	// redirectWindow is how long after its last redirected ask a pool sends digests at
	// the shorter interval.
	redirectWindow = 30 * time.Second
	// maxDigestUsage limits the accounts in one digest; the others follow in the next
	// ones.
	maxDigestUsage = 16
	// digestTTL is the age at which a digest is ignored as stale.
	digestTTL = 10 * time.Second
	// maxRemoteAccounts limits the accounts that are tracked per sibling.
	maxRemoteAccounts = 8192
	// minRedirectGain is the reduction of the wait, beyond the cost of the link, that
	// justifies a redirection.
	minRedirectGain = 50 * time.Millisecond
	// sampledSiblings is the number of random siblings that are compared for a
	// redirection.
	sampledSiblings = 2
	// minLoadChange is the relative change of the load that makes a digest due.
	minLoadChange = 0.25
)

// sentDigest describes the last digest sent to the siblings of a pool.
type sentDigest struct {
	sequence int
	sentAt   time.Time
	load     sched.Load
}

// sibling is the coordinator of the same target in another zone.
type sibling struct {
	host        string
	incarnation int
	takeover    int
	sequence    int
	lastDigest  time.Time
	zone        string
	claims      siblingClaims
	load        sched.Load
	// redirectedTokens were redirected to the sibling since its last digest, and
	// prevRedirectedTokens in the interval before that, which the digest may not
	// include yet.
	redirectedTokens, prevRedirectedTokens int
	// servedTokens are the served tokens that the last digest reported, by account.
	servedTokens map[sched.UsageKey]int
	// claimedTokens are the claimed tokens that the last digest reported, by
	// organisation.
	claimedTokens map[string]int
}

// SetSiblings sets, for each owned pool, the hosts that coordinate the same target in
// the other zones.
func (s *State) SetSiblings(now time.Time, siblings map[message.Pool][]string) {
	total := 0
	for _, ps := range s.order {
		hosts := siblings[ps.id]
		total += len(hosts)
		for host := range ps.siblings {
			if !slices.Contains(hosts, host) {
				ps.formerSiblings.Add(host, ps.siblings[host])
				delete(ps.siblings, host)
			}
		}
		for _, host := range hosts {
			if ps.siblings[host] == nil {
				ps.siblings[host] = ps.returningSibling(host)
				ps.digest.sentAt = time.Time{}
				ps.reportAll()
			}
		}
	}
	s.digestInterval = max(minDigestInterval, time.Duration(total)*digestSpacing)
}

// newSibling returns the record of a sibling that must confirm the claims up to a digest.
func newSibling(host string, needed int) *sibling {
	return &sibling{
		host: host, servedTokens: map[sched.UsageKey]int{}, claimedTokens: map[string]int{},
		claims: siblingClaims{needed: needed},
	}
}

// maxFormerSiblings limits the records of hosts that are no siblings any more.
const maxFormerSiblings = 32

// returningSibling returns the record of a new sibling. One that has been a sibling before, as
// after a partition, keeps its record, so that its claims since then are counted.
func (ps *poolState) returningSibling(host string) *sibling {
	needed := ps.digest.sequence + 1
	sib, known := ps.formerSiblings.Get(host)
	if !known {
		return newSibling(host, needed)
	}
	ps.formerSiblings.Remove(host)
	sib.claims.current, sib.claims.needed = false, needed
	return sib
}

func (ps *poolState) siblingHosts() []string {
	hosts := make([]string, 0, len(ps.siblings))
	for host := range ps.siblings {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// sendDigests sends the load of a pool to its siblings, on change and at least every
// few seconds.
func (s *State) sendDigests(now time.Time, ps *poolState) {
	since, interval := now.Sub(ps.digest.sentAt), s.poolDigestInterval(now, ps)
	ps.reports.interval = max(claimInterval, interval-minDigestInterval)
	ps.resendClaims(now)
	claims := ps.sched.ClaimsChanged() || ps.confirmationDue()
	if claims {
		interval = ps.reports.interval
	}
	if len(ps.siblings) == 0 || since < interval {
		return
	}
	load := ps.sched.Load(now)
	if !claims && since < max(maxDigestInterval, interval) && !loadChanged(&ps.digest.load, &load) {
		return
	}
	ps.digest.sequence++
	ps.digest.sentAt, ps.digest.load = now, load
	digest := s.newDigest(ps, &load)
	ps.recordReport(now, digest)
	for _, host := range ps.siblingHosts() {
		addressed := *digest
		addressed.Confirms = ps.siblings[host].confirmation()
		s.send(host, message.Frame{Digest: &addressed})
	}
}

// confirmationDue reports whether a sibling waits to hear that its claims are counted.
func (ps *poolState) confirmationDue() bool {
	for _, sib := range ps.siblings {
		if sib.claims.due {
			return true
		}
	}
	return false
}

// confirmation returns which claims of a sibling are counted; nil if none are.
func (sib *sibling) confirmation() *message.ClaimsConfirmed {
	sib.claims.due = false
	if sib.claims.countedTo == 0 || sib.claims.neverConfirms {
		return nil
	}
	return &message.ClaimsConfirmed{Incarnation: sib.incarnation, Takeover: sib.takeover, Sequence: sib.claims.countedTo}
}

// poolDigestInterval returns the minimum time between two digests of a pool. A pool
// with many siblings and without redirected asks sends fewer.
func (s *State) poolDigestInterval(now time.Time, ps *poolState) time.Duration {
	if len(ps.siblings) <= maxSiblingsAtFullRate || now.Sub(ps.lastRedirected) < redirectWindow {
		return s.digestInterval
	}
	return max(s.digestInterval, min(2*s.digestInterval, quietDigestInterval))
}

func (s *State) newDigest(ps *poolState, load *sched.Load) *message.Digest {
	d := &message.Digest{
		Host: s.config.Host, Incarnation: s.config.Incarnation, Pool: ps.id, Sequence: ps.digest.sequence,
		FreeTokens: load.FreeTokens, Servers: load.Servers, TokensPerSecond: load.TokensPerSecond,
		ClaimsKnownMs: ps.claims.knownMs(ps.digest.sentAt),
		Takeover:      ps.takeover, ClaimsSince: ps.reports.since,
	}
	for _, t := range load.Tiers {
		d.Tiers = append(d.Tiers, message.TierLoad{
			Tier: t.Tier, Waiting: t.Waiting, WaitingTokens: t.WaitingTokens,
			Running: t.Running, RunningTokens: t.RunningTokens, WaitMs: int(t.Wait.Milliseconds()),
		})
	}
	ps.sched.TakeUsage(maxDigestUsage, func(key sched.UsageKey, tokens int) {
		d.Usage = append(d.Usage, message.Usage{Organisation: key.Organisation, Tier: key.Tier, Tokens: tokens})
	})
	ps.sched.TakeClaims(func(organisation string, claimed, remaining int) {
		d.Claims = append(d.Claims, message.Claimed{Organisation: organisation, Tokens: claimed, Left: remaining})
	})
	return d
}

// loadChanged reports whether a load differs enough to be sent before
// maxDigestInterval.
func loadChanged(before, after *sched.Load) bool {
	differs := func(a, b int) bool {
		return float64(max(a-b, b-a)) > minLoadChange*float64(max(a, b))
	}
	if before.Servers != after.Servers || differs(before.FreeTokens, after.FreeTokens) {
		return true
	}
	return differs(waitingTokens(before), waitingTokens(after))
}

func waitingTokens(l *sched.Load) int {
	sum := 0
	for _, t := range l.Tiers {
		sum += t.WaitingTokens
	}
	return sum
}

// handleDigest applies a sibling's digest: its load, and the tokens that organisations
// were served and claimed there.
func (s *State) handleDigest(now time.Time, from string, d *message.Digest) {
	for _, ps := range s.order {
		if ps.id.Zone == d.Pool.Zone && ps.id.Target != d.Pool.Target {
			ps.countZoneClaims(now, d)
		}
		if ps.id.Target != d.Pool.Target || ps.id == d.Pool {
			continue
		}
		ps.claims.learn(now, d)
		sib := ps.siblings[d.Host]
		if sib == nil {
			ps.applyFormerClaims(now, d)
			continue
		}
		if !ps.acceptsDigest(sib, d) {
			continue
		}
		sib.applyLoad(now, d)
		sib.applyUsage(ps, d.Usage)
		sib.applyClaims(now, ps, d)
		sib.claims.countClaims(d)
		s.handleConfirmation(ps, sib, d)
		s.updateClaims(now, ps)
	}
}

// acceptsDigest reports whether a digest is newer than all before it from the same sibling. The
// first one of another takeover begins a new record, and the sibling needs all claims again.
func (ps *poolState) acceptsDigest(sib *sibling, d *message.Digest) bool {
	switch cmp.Or(cmp.Compare(d.Incarnation, sib.incarnation), cmp.Compare(d.Takeover, sib.takeover)) {
	case -1:
		return false
	case 1:
		needed := sib.claims.needed
		if sib.incarnation != 0 {
			needed = ps.digest.sequence + 1
			ps.reportAll()
		}
		*sib = *newSibling(sib.host, needed)
		sib.incarnation, sib.takeover = d.Incarnation, d.Takeover
	}
	return d.Sequence > sib.sequence
}

func (sib *sibling) applyLoad(now time.Time, d *message.Digest) {
	sib.sequence, sib.lastDigest, sib.zone = d.Sequence, now, d.Pool.Zone
	sib.prevRedirectedTokens, sib.redirectedTokens = sib.redirectedTokens, 0
	sib.load = sched.Load{FreeTokens: d.FreeTokens, Servers: d.Servers, TokensPerSecond: d.TokensPerSecond}
	for _, t := range d.Tiers {
		sib.load.Tiers = append(sib.load.Tiers, sched.TierLoad{
			Tier: t.Tier, WaitingTokens: t.WaitingTokens, RunningTokens: t.RunningTokens, Wait: settings.Milliseconds(t.WaitMs),
		})
	}
}

// applyClaims counts what organisations claimed at the sibling since its last digest.
// If no earlier claims of an organisation are on record, they count in full in the
// first takeoverDigests digests. In a later one they are recorded, and what is left at the
// sibling is adopted.
func (sib *sibling) applyClaims(now time.Time, ps *poolState, d *message.Digest) {
	for _, c := range d.Claims {
		before, known := sib.claimedTokens[c.Organisation]
		known = known || d.Sequence <= takeoverDigests
		if !known && len(sib.claimedTokens) >= maxRemoteAccounts {
			continue
		}
		sib.claimedTokens[c.Organisation] = c.Tokens
		if !known {
			ps.sched.ForgetWithheld(c.Organisation)
		}
		if !known || now.Sub(ps.takenOverAt) < claimSyncTime && !ps.claims.startsAfresh(d) {
			ps.sched.SyncRemaining(now, c.Organisation, float64(c.Left))
		}
		if known {
			ps.sched.ClaimRemote(now, sib.zone, c.Organisation, float64(c.Tokens-before))
		}
	}
}

// applyFormerClaims adopts the remaining rate limits that a host counted which no longer
// coordinates a pool of the target. Its successor may not know them yet.
func (ps *poolState) applyFormerClaims(now time.Time, d *message.Digest) {
	if now.Sub(ps.takenOverAt) >= claimSyncTime || ps.claims.startsAfresh(d) {
		return
	}
	for _, c := range d.Claims {
		ps.sched.SyncRemaining(now, c.Organisation, float64(c.Left))
	}
}

// applyUsage charges the tokens that organisations were served at the sibling since its
// last digest.
func (sib *sibling) applyUsage(ps *poolState, usage []message.Usage) {
	for _, u := range usage {
		key := sched.UsageKey{Organisation: u.Organisation, Tier: u.Tier}
		before, known := sib.servedTokens[key]
		if !known && len(sib.servedTokens) >= maxRemoteAccounts {
			continue
		}
		sib.servedTokens[key] = u.Tokens
		if known {
			ps.sched.ChargeRemote(key, u.Tokens-before)
		}
	}
}

// redirectZone returns the zone of a sibling where the request should start earlier
// than in this pool by more than the cost of the link. If no server of this pool takes
// work, the sibling need not be earlier.
func (s *State) redirectZone(now time.Time, ps *poolState, ask *message.Ask, r *sched.Request) (string, bool) {
	if ask.Redirected || ask.Server != "" || len(ps.siblings) == 0 || ps.sched.Startable(now, r) {
		return "", false
	}
	own := ps.sched.ExpectedWaitFor(r)
	best := s.bestSibling(now, ps, r)
	if best == nil {
		return "", false
	}
	cost := 2*s.linkDelay(best.zone) + minRedirectGain + ps.sched.PrefixSaving(r)
	if ps.sched.TakesWork() && best.wait(r)+cost >= own {
		return "", false
	}
	best.redirectedTokens += r.PromptTokens + r.OutputTokens
	return best.zone, true
}

// sampleSiblings returns two random siblings with fresh digests (the power of two
// choices). A comparison of all would herd the work of every zone to the sibling with
// the best digest.
func (s *State) sampleSiblings(now time.Time, ps *poolState) []*sibling {
	fresh := s.freshSiblings(now, ps)
	s.random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	return fresh[:min(len(fresh), sampledSiblings)]
}

// freshSiblings returns the siblings whose digest is not stale and reports servers,
// sorted by host. Those of evacuated zones are left out, whatever they have reported.
func (s *State) freshSiblings(now time.Time, ps *poolState) []*sibling {
	var fresh []*sibling
	for _, host := range ps.siblingHosts() {
		sib := ps.siblings[host]
		if now.Sub(sib.lastDigest) < digestTTL && sib.load.Servers > 0 && !s.evacuated[sib.zone] {
			fresh = append(fresh, sib)
		}
	}
	return fresh
}

// remoteRate returns the speed of all siblings together, in tokens per second.
func (s *State) remoteRate(now time.Time, ps *poolState) float64 {
	sum := 0.0
	for _, sib := range s.freshSiblings(now, ps) {
		sum += sib.load.TokensPerSecond
	}
	return sum
}

// bestSibling returns the sampled sibling with the shortest expected wait; nil if there
// is none.
func (s *State) bestSibling(now time.Time, ps *poolState, r *sched.Request) *sibling {
	var best *sibling
	for _, sib := range s.sampleSiblings(now, ps) {
		if best == nil || sib.wait(r) < best.wait(r) {
			best = sib
		}
	}
	return best
}

// wait returns the expected time until the sibling grants a request. It adds the
// pending tokens to the load in the sibling's digest.
func (sib *sibling) wait(r *sched.Request) time.Duration {
	pending := sib.pendingTokens()
	if sib.load.FreeTokens >= pending+r.PromptTokens+r.OutputTokens {
		return 0
	}
	wait := time.Duration(0)
	for _, t := range sib.load.Tiers {
		if t.Tier <= r.Tier {
			wait = max(wait, t.Wait)
		}
	}
	if sib.load.TokensPerSecond > 0 {
		wait += time.Duration(float64(pending) / sib.load.TokensPerSecond * float64(time.Second))
	}
	return wait
}

// pendingTokens returns the tokens that were redirected to the sibling and that its
// digest may not include yet.
func (sib *sibling) pendingTokens() int { return sib.redirectedTokens + sib.prevRedirectedTokens }

// linkDelay returns the one-way delay of the link to another zone.
func (s *State) linkDelay(zone string) time.Duration {
	if s.policy == nil {
		return 0
	}
	own, other := s.policy.Zones[s.config.Zone], s.policy.Zones[zone]
	return settings.Milliseconds(max(own.LinkMs, other.LinkMs))
}

func (s *State) redirectArrival(now time.Time, e *entry, zone string) {
	s.recordEnd(e.request.ID, e.request.Attempt)
	s.redirectRequest(now, e, &message.Redirect{Zone: zone}, redirectOnArrival, "another zone promises an earlier start")
}

// redirectRequest sends a redirection to the front of a request, and logs the decision.
func (s *State) redirectRequest(now time.Time, e *entry, r *message.Redirect, cause RedirectCause, reason string) {
	r.Request, r.Attempt, r.Pool = e.request.ID, e.request.Attempt, e.pool.id
	s.send(e.request.Host, message.Frame{Redirect: r})
	d := s.logDecision(now, e, DecisionRedirect, reason)
	d.Zone, d.Cause = r.Zone, cause
	for _, sib := range e.pool.siblings {
		if sib.zone == r.Zone {
			d.Inputs.DigestAge = now.Sub(sib.lastDigest)
		}
	}
}
