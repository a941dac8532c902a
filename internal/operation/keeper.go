package operation

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// KeeperConfig describes one entry host as a keeper of idempotency keys.
type KeeperConfig struct {
	Host string
	Zone string
	// MaxPause is the longest silence between two calls of SetView after which
	// the host still trusts its view. It must be shorter than the silence after
	// which other hosts declare this one dead.
	MaxPause time.Duration
	// MaxSkew bounds the difference between the clocks of callers and hosts.
	MaxSkew time.Duration
	Limits  Limits
	// MaxPartRecords is the most records in one part of a handover; 0 uses
	// DefaultMaxPartRecords.
	MaxPartRecords int
}

// View is what a host knows of the keepers of its zone.
type View struct {
	// Zones are all availability zones of the policy.
	Zones []string
	// Hosts are the live entry hosts of the own zone, this one included unless
	// it is leaving.
	Hosts []string
	// Incarnations are those of the hosts.
	Incarnations map[string]int
	// Versions are those of the hosts' membership. A host's version changes
	// when it joins, and when others had declared it suspect or dead.
	Versions map[string]int
	// RetryWindow is the time in which a caller may repeat a key.
	RetryWindow time.Duration
}

// Keeper decides which bare idempotency keys may be executed. It is not safe for
// concurrent use.
//
// Invariant: as long as at most one host believes that it keeps a range, but for
// a time shorter than MaxSkew while a host joins, each key is executed at most
// once. A key is executed only if this host can't have missed an earlier call
// with it: because it has kept the key's range for longer than the retry window,
// or because the key's own time is later than the moment at which it began to
// keep the range.
type Keeper struct {
	config  KeeperConfig
	records *recordTable
	view    View
	viewAt  time.Time
	// keptSince is when this host began to keep each range; zero for ranges it
	// does not keep.
	keptSince [keyRangeCount]time.Time
	// previousKeeper is which host kept each range until this host began to keep it,
	// and may still hand it over. It is empty once the range was handed over.
	previousKeeper [keyRangeCount]incarnation
	// pendingMoves are the ranges that this host gave up for one that joined, and has
	// not handed over yet.
	pendingMoves map[int]rangeMove
	// handoverCount counts the handovers that this host made.
	handoverCount int
	// sealed is set at a planned stop: no key is executed any more.
	sealed bool
	inbox  inbox
	outbox outbox
	// abandoned ranges were not told of yet.
	abandoned []AbandonedHandover
}

// NewKeeper returns a keeper that keeps nothing until its first view.
func NewKeeper(c KeeperConfig) *Keeper {
	if c.MaxPartRecords == 0 {
		c.MaxPartRecords = DefaultMaxPartRecords
	}
	return &Keeper{
		config: c, records: newRecordTable(c.Limits), inbox: newInbox(), pendingMoves: map[int]rangeMove{},
		outbox: outbox{limits: c.Limits},
	}
}

// SetView tells the keeper what the host knows of its zone. It must be called
// more often than the configured pause.
func (k *Keeper) SetView(now time.Time, v View) {
	old, paused := k.view, k.stale(now)
	joined := k.viewAt.IsZero() || k.membershipVersion(v) != k.membershipVersion(old)
	if joined || paused {
		clear(k.keptSince[:])
		k.abandonPendingMoves(reasonSenderInterrupted)
		k.abandonHandovers(reasonSenderInterrupted, k.outbox.handovers)
		k.outbox.handovers = nil
		k.inbox = newInbox()
	}
	k.view, k.viewAt = v, now
	if v.RetryWindow > old.RetryWindow {
		k.extendRetryWindow(now, old.RetryWindow)
	}
	switch {
	case joined:
		k.updateRanges(now, k.keeperWithoutSelf)
	case paused:
		k.updateRanges(now, func(int) incarnation { return incarnation{} })
	case !v.sameKeepers(old):
		k.updateRanges(now, func(r int) incarnation { return k.keeperInView(r, old) })
	}
	k.records.sweep(now)
}

// membershipVersion returns the version of this host's membership in a view.
func (k *Keeper) membershipVersion(v View) int { return v.Versions[k.config.Host] }

// sameKeepers reports whether two views choose the same keepers.
func (v View) sameKeepers(other View) bool {
	return slices.Equal(v.Zones, other.Zones) && slices.Equal(v.Hosts, other.Hosts) &&
		maps.Equal(v.Incarnations, other.Incarnations)
}

// extendRetryWindow accounts for records that were removed under a shorter retry
// window: what lies before it is as if it had not been kept.
func (k *Keeper) extendRetryWindow(now time.Time, old time.Duration) {
	retainedSince := now.Add(-old)
	for r, since := range k.keptSince {
		if !since.IsZero() && since.Before(retainedSince) {
			k.keptSince[r] = retainedSince
		}
	}
	k.abandonPendingMoves(reasonLongerWindow)
	for _, r := range k.records.byID {
		r.expiresAt = r.expiresAt.Add(k.view.RetryWindow - old)
	}
}

// updateRanges begins to keep ranges, and gives up others, as the view says.
// previous returns which host kept a range until now, without a gap.
func (k *Keeper) updateRanges(now time.Time, previousKeeper func(r int) incarnation) {
	for r := range k.keptSince {
		keeper := k.keeperInView(r, k.view)
		switch {
		case keeper.host != k.config.Host:
			k.releaseRange(now, r, keeper.host)
			k.inbox.discardUnlessFrom(r, keeper)
		case k.keptSince[r].IsZero():
			delete(k.pendingMoves, r)
			k.previousKeeper[r] = previousKeeper(r)
			k.acquireRange(now, r)
		}
	}
}

// acquireRange starts to keep a range, now or from the moment at which the host that
// handed it over began.
func (k *Keeper) acquireRange(now time.Time, r int) {
	k.keptSince[r] = now
	if since, ok := k.inbox.takePending(now, r); ok {
		k.keptSince[r], k.previousKeeper[r] = since, incarnation{}
	}
}

// incarnation is one start of one host.
type incarnation struct {
	host   string
	number int
}

// keeperWithoutSelf returns who keeps a range in a view that lacks this host.
func (k *Keeper) keeperWithoutSelf(r int) incarnation {
	v := k.view
	v.Hosts = k.otherHosts()
	return k.keeperInView(r, v)
}

// otherHosts returns the hosts of the view without this one.
func (k *Keeper) otherHosts() []string {
	return slices.DeleteFunc(slices.Clone(k.view.Hosts), func(host string) bool { return host == k.config.Host })
}

// keeperInView returns who keeps a range in a view. It is empty if the range's home
// is another zone.
func (k *Keeper) keeperInView(r int, v View) incarnation {
	if homeZone(r, v.Zones) != k.config.Zone {
		return incarnation{}
	}
	host := rangeKeeper(r, v.Hosts)
	return incarnation{host: host, number: v.Incarnations[host]}
}

// stale reports whether the view is too old to be trusted, as after a pause of
// the process.
func (k *Keeper) stale(now time.Time) bool {
	return now.Sub(k.viewAt) > k.config.MaxPause
}

// Begin decides about a call with a bare key. Each ActionRun must be followed
// by Finish with the decision's ID.
func (k *Keeper) Begin(now time.Time, call message.OperationCall) Decision {
	id, contentHash := keyID(call), fingerprint(call)
	if decision, ok := k.records.find(id, contentHash); ok {
		return decision
	}
	r := rangeOf(id)
	if k.sealed || k.keptSince[r].IsZero() || k.awaitingHandover(now, r) {
		return replyNow(keeperChangingReply())
	}
	if reason := k.refusalReason(now, r, call); reason != "" {
		return replyNow(unknownKeyReply(reason))
	}
	k.records.insert(&record{
		id: id, organisation: call.Organisation, fingerprint: contentHash, keyRange: r,
		startedAt: now, expiresAt: now.Add(k.retention()),
	})
	return Decision{Action: ActionRun, ID: id}
}

// refusalReason returns why a key without a record can't be executed, or an
// empty string.
func (k *Keeper) refusalReason(now time.Time, r int, call message.OperationCall) string {
	switch {
	case k.stale(now):
		return "the keeper of the key was paused"
	case k.records.full(call.Organisation):
		return "the keeper of the key remembers too many operations"
	case call.KeyTimeMs != 0:
		return k.keyTimeRefusalReason(now, r, time.UnixMilli(int64(call.KeyTimeMs)))
	case now.Sub(k.keptSince[r]) <= k.view.RetryWindow+k.config.MaxSkew:
		return "the keeper of the key began less than a retry window ago"
	}
	return ""
}

// keyTimeRefusalReason judges a key by the time that it carries.
func (k *Keeper) keyTimeRefusalReason(now time.Time, r int, keyTime time.Time) string {
	switch {
	case keyTime.After(now.Add(k.config.MaxSkew)):
		return "the time of the key lies in the future"
	case now.Sub(keyTime) > k.view.RetryWindow:
		return "the key is older than the retry window"
	case !keyTime.After(k.keptSince[r].Add(k.config.MaxSkew)):
		return "the key is older than its keeper"
	}
	return ""
}

// retention is how long a finished operation is remembered. It covers the retry
// window of a key whose time differs from this host's clock by the skew in
// either direction.
func (k *Keeper) retention() time.Duration {
	return k.view.RetryWindow + 2*k.config.MaxSkew
}

// Finish stores the answer of an execution.
func (k *Keeper) Finish(now time.Time, id string, reply message.OperationReply) {
	if rec, ok := k.records.byID[id]; ok && !rec.finished {
		rec.expiresAt = now.Add(k.retention())
	}
	k.records.finish(id, reply)
}

// KeeperOfKey returns the host that this one believes keeps a call's key, given the
// live hosts of all zones. It is empty if there is none.
func KeeperOfKey(call message.OperationCall, zones []string, hosts []message.Member) string {
	r := rangeOf(keyID(call))
	return rangeKeeper(r, eligibleHosts(homeZone(r, zones), hosts))
}

// eligibleHosts returns the names of the hosts of a zone that may keep keys, in order.
func eligibleHosts(zone string, hosts []message.Member) []string {
	var names []string
	for _, host := range hosts {
		if host.Zone == zone && (host.State == message.MemberStateAlive || host.State == message.MemberStateSuspect) {
			names = append(names, host.Host)
		}
	}
	slices.Sort(names)
	return names
}

// keeperChangingReply answers a call that was sent to a host which does not keep its key
// any more, or not yet. The host has not executed the call and won't; whether
// another one has, it can't know.
func keeperChangingReply() message.OperationReply {
	return refusal(apierror.CodeStopping, verdict.MayHaveRun, StateNotSent, "the keeper of the key is changing")
}

// isKeeperChanging reports whether a reply is that of a host which is not the keeper.
func isKeeperChanging(reply message.OperationReply) bool {
	return reply.Code == string(apierror.CodeStopping) && reply.Verdict == message.OperationReplyVerdictMayHaveRun
}

// unknownKeyReply answers a call whose key may have been executed before. The call
// itself is not executed.
func unknownKeyReply(reason string) message.OperationReply {
	return refusal(apierror.CodeKeyUnknown, verdict.MayHaveRun, StateNotSent,
		reason+"; use a ticket for a certain answer")
}
