package operation

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// KeeperConfig configures a Keeper.
type KeeperConfig struct {
	// Host is the name of this entry host.
	Host string
	// Zone is its availability zone.
	Zone string
	// MaxPause is the longest time between two SetView calls after which the
	// view is still trusted. It must be shorter than the silence after which
	// other hosts declare this one dead.
	MaxPause time.Duration
	// MaxSkew bounds the clock difference between callers and hosts.
	MaxSkew time.Duration
	// Limits bounds the record table.
	Limits Limits
	// MaxPartRecords bounds the records in one part of a handover; 0 means
	// DefaultMaxPartRecords.
	MaxPartRecords int
}

// View is a host's view of the keepers in its zone.
type View struct {
	// Zones are all availability zones of the policy.
	Zones []string
	// Hosts are the live entry hosts of this host's zone, including this host
	// unless it is leaving.
	Hosts []string
	// Incarnations holds the incarnation number of each host.
	Incarnations map[string]int
	// Versions holds the membership version of each host. It changes when the
	// host joins, and when others had declared it suspect or dead.
	Versions map[string]int
	// RetryWindow is how long a caller may repeat a key.
	RetryWindow time.Duration
}

// Keeper decides which bare idempotency keys may be executed. Keys are
// partitioned into ranges, and each range is kept by one host, its keeper. A
// Keeper is not safe for concurrent use.
//
// Invariant: each key is executed at most once as long as at most one host at a
// time considers itself the keeper of a range. While a host joins, two hosts
// may do so for less than MaxSkew. A key is executed only if this host can't
// have missed an earlier call with it: either it has kept the key's range for
// longer than the retry window, or the key's own timestamp is later than the
// moment at which it began to keep the range.
type Keeper struct {
	config  KeeperConfig
	records *recordTable
	view    View
	viewAt  time.Time
	// keptSince is when this host began to keep each range; zero for ranges it
	// doesn't keep.
	keptSince [keyRangeCount]time.Time
	// previousKeeper is the host that kept each range before this one and may
	// still hand it over. It is empty once the range was handed over.
	previousKeeper [keyRangeCount]incarnation
	// pendingMoves are the ranges released to other hosts for which no handover
	// was built yet.
	pendingMoves map[int]rangeMove
	// handoverCount is the number of handovers built so far; it numbers them.
	handoverCount int
	// sealed is set by Seal; no new key is executed afterwards.
	sealed bool
	inbox  inbox
	outbox outbox
	// abandoned holds the ranges not yet returned by TakeAbandoned.
	abandoned []AbandonedHandover
}

// NewKeeper returns a Keeper that keeps no range until its first view.
func NewKeeper(c KeeperConfig) *Keeper {
	if c.MaxPartRecords == 0 {
		c.MaxPartRecords = DefaultMaxPartRecords
	}
	return &Keeper{
		config: c, records: newRecordTable(c.Limits), inbox: newInbox(), pendingMoves: map[int]rangeMove{},
		outbox: outbox{limits: c.Limits},
	}
}

// SetView updates the keeper's view of its zone. It must be called more often
// than once per MaxPause: after a longer gap, or when this host joined again,
// the keeper discards its ranges and handovers before it applies the view.
func (k *Keeper) SetView(now time.Time, v View) {
	old, paused := k.view, k.stale(now)
	joined := k.viewAt.IsZero() || k.membershipVersion(v) != k.membershipVersion(old)
	if joined || paused {
		clear(k.keptSince[:])
		k.abandonPendingMoves(reasonSenderInterrupted)
		k.addAbandonedHandovers(reasonSenderInterrupted, k.outbox.handovers)
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

// extendRetryWindow applies a longer retry window. Records were removed under
// the old window, so ranges count as kept for the old window at most.
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

// updateRanges acquires and releases ranges according to the current view.
// previousKeeper returns the host that has kept a range without a gap until
// now.
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

// acquireRange begins to keep a range. If the range was handed over, it counts
// as kept since the sender began to keep it.
func (k *Keeper) acquireRange(now time.Time, r int) {
	k.keptSince[r] = now
	if since, ok := k.inbox.takePending(now, r); ok {
		k.keptSince[r], k.previousKeeper[r] = since, incarnation{}
	}
}

// incarnation is one start of a host.
type incarnation struct {
	host   string
	number int
}

// keeperWithoutSelf returns the keeper of a range in the current view without
// this host.
func (k *Keeper) keeperWithoutSelf(r int) incarnation {
	v := k.view
	v.Hosts = k.otherHosts()
	return k.keeperInView(r, v)
}

// otherHosts returns the hosts of the view without this one.
func (k *Keeper) otherHosts() []string {
	return slices.DeleteFunc(slices.Clone(k.view.Hosts), func(host string) bool { return host == k.config.Host })
}

// keeperInView returns the keeper of a range in a view. It is empty if the
// range's home zone is another zone.
func (k *Keeper) keeperInView(r int, v View) incarnation {
	if homeZone(r, v.Zones) != k.config.Zone {
		return incarnation{}
	}
	host := rangeKeeper(r, v.Hosts)
	return incarnation{host: host, number: v.Incarnations[host]}
}

// stale reports whether the view is too old to be trusted, for example after a
// pause of the process.
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
// empty string if it can.
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

// keyTimeRefusalReason is refusalReason for a key with a timestamp.
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
// window plus the clock skew in either direction.
func (k *Keeper) retention() time.Duration {
	return k.view.RetryWindow + 2*k.config.MaxSkew
}

// Finish stores the answer of an execution and starts the record's retention.
func (k *Keeper) Finish(now time.Time, id string, reply message.OperationReply) {
	if rec, ok := k.records.byID[id]; ok && !rec.finished {
		rec.expiresAt = now.Add(k.retention())
	}
	k.records.finish(id, reply)
}

// KeeperOfKey returns the keeper of a call's key, given the members of all
// zones. It is empty if no host is eligible.
func KeeperOfKey(call message.OperationCall, zones []string, hosts []message.Member) string {
	r := rangeOf(keyID(call))
	return rangeKeeper(r, eligibleHosts(homeZone(r, zones), hosts))
}

// eligibleHosts returns the sorted names of the hosts of a zone that may keep
// keys.
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

// keeperChangingReply answers a call on a host that may not use the range of
// its key now. The host has not executed the call and won't; another host may
// have executed it.
func keeperChangingReply() message.OperationReply {
	return refusal(apierror.CodeStopping, verdict.MayHaveRun, StateNotSent, "the keeper of the key is changing")
}

// isKeeperChanging reports whether a reply is a keeperChangingReply.
func isKeeperChanging(reply message.OperationReply) bool {
	return reply.Code == string(apierror.CodeStopping) && reply.Verdict == message.OperationReplyVerdictMayHaveRun
}

// unknownKeyReply refuses a call whose key may have been executed before.
func unknownKeyReply(reason string) message.OperationReply {
	return refusal(apierror.CodeKeyUnknown, verdict.MayHaveRun, StateNotSent,
		reason+"; use a ticket for a certain answer")
}
