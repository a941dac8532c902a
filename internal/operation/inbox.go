package operation

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

const (
	// handoverTTL is how long ranges handed over wait for the view that
	// makes this host their keeper.
	handoverTTL = 30 * time.Second
	// joinHandoverWait is how long a host that joined refuses the keys of a range until
	// the keeper before it hands the range over.
	joinHandoverWait = 3 * time.Second
	// maxIncomingHandovers bounds the handovers that a host knows at once.
	maxIncomingHandovers = 64
	// maxHandoverParts bounds the parts of one of them.
	maxHandoverParts = 4096
)

// inbox holds the ranges that other keepers handed to this host and that its
// view does not give it yet.
//
// Invariant: the sender of each range has been its keeper in every view since
// the handover.
type inbox struct {
	pending map[int]pendingRange
	// incoming are the handovers of which parts came.
	incoming map[handoverID]*incomingHandover
}

// handoverID identifies a handover among those of all senders.
type handoverID struct {
	from   incarnation
	number int
}

// incomingHandover is a handover of which parts came.
type incomingHandover struct {
	// receivedAt is when a part came last.
	lastPartAt time.Time
	// received holds the numbers of the parts that came.
	received map[int]bool
	// partCount is the number of parts, once the last one came.
	partCount int
	// ranges are those that the last part names.
	ranges []message.KeyRange
	// applied says that the ranges were taken over.
	applied bool
}

type pendingRange struct {
	from incarnation
	// since is when the sender began to keep the range.
	since      time.Time
	receivedAt time.Time
}

func newInbox() inbox {
	return inbox{pending: map[int]pendingRange{}, incoming: map[handoverID]*incomingHandover{}}
}

// takePending returns from when on a range that this host begins to keep now has been
// kept without a gap, if it was handed over.
func (a *inbox) takePending(now time.Time, r int) (since time.Time, ok bool) {
	pending, ok := a.pending[r]
	delete(a.pending, r)
	return pending.since, ok && now.Sub(pending.receivedAt) <= handoverTTL
}

// discardUnlessFrom forgets a range that was handed over by anyone but its keeper.
func (a *inbox) discardUnlessFrom(r int, keeper incarnation) {
	if pending, ok := a.pending[r]; ok && pending.from != keeper {
		delete(a.pending, r)
	}
}

// addPart notes a part. It returns the handover once all of its parts came,
// and never again.
func (a *inbox) addPart(now time.Time, h message.KeyHandover) (*incomingHandover, bool) {
	in := a.handoverByID(now, handoverID{from: senderOf(h), number: h.Number})
	in.lastPartAt, in.received[h.Part] = now, true
	if h.Last {
		in.partCount, in.ranges = h.Part+1, h.Ranges
	}
	if in.applied || in.partCount == 0 || len(in.received) < in.partCount {
		return nil, false
	}
	in.applied = true
	return in, true
}

// handoverByID returns the handover with an id. Those of which no part came for
// longest give way to a new one.
func (a *inbox) handoverByID(now time.Time, id handoverID) *incomingHandover {
	if in, ok := a.incoming[id]; ok {
		return in
	}
	maps.DeleteFunc(a.incoming, func(_ handoverID, in *incomingHandover) bool { return now.Sub(in.lastPartAt) > handoverTTL })
	if len(a.incoming) >= maxIncomingHandovers {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(a.incoming)), func(x, y handoverID) int {
			return a.incoming[x].lastPartAt.Compare(a.incoming[y].lastPartAt)
		})
		delete(a.incoming, oldest)
	}
	in := &incomingHandover{lastPartAt: now, received: map[int]bool{}}
	a.incoming[id] = in
	return in
}

// senderOf returns the incarnation that sent a part.
func senderOf(h message.KeyHandover) incarnation {
	return incarnation{host: h.Host, number: h.Incarnation}
}

// ReceiveHandoverPart takes over records and ranges of another keeper. Records only ever add
// to what this host refuses to execute. The ranges count as kept since the
// sender began to keep them, but only if all records arrived and this host was
// meant, in this stay. It reports whether the part needs not come again.
func (k *Keeper) ReceiveHandoverPart(now time.Time, h message.KeyHandover) (ack message.KeyHandoverAck, ok bool) {
	to := receiverOf(h)
	if to != k.membershipOf(k.config.Host) || k.stale(now) || h.Part < 0 || h.Part >= maxHandoverParts {
		return ack, false
	}
	if len(k.records.byID)+len(h.Records) > 2*k.config.Limits.MaxRecords {
		return ack, false
	}
	for _, r := range h.Records {
		k.applyRecord(now, r)
	}
	if in, ok := k.inbox.addPart(now, h); ok {
		k.applyRanges(now, in.ranges, senderOf(h))
	}
	return message.KeyHandoverAck{
		Host: to.host, Incarnation: to.number, Version: to.version,
		ToIncarnation: h.Incarnation, Number: h.Number, Part: h.Part,
	}, true
}

func (k *Keeper) applyRanges(now time.Time, ranges []message.KeyRange, from incarnation) {
	for _, r := range ranges {
		if r.Range >= 0 && r.Range < keyRangeCount {
			k.applyRange(now, r, from)
		}
	}
}

func (k *Keeper) applyRecord(now time.Time, r message.KeyRecord) {
	if _, ok := k.records.byID[r.Operation]; ok {
		return
	}
	rec := &record{
		id: r.Operation, organisation: r.Organisation, fingerprint: r.Fingerprint, keyRange: rangeOf(r.Operation),
		startedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond), expiresAt: now.Add(k.retention()),
	}
	k.records.insert(rec)
	k.records.finish(r.Operation, replyFromRecord(r))
	rec.answerDropped = rec.answerDropped || r.Dropped
}

func replyFromRecord(r message.KeyRecord) message.OperationReply {
	reply := message.OperationReply{Status: r.Status, Code: r.Code, Headers: r.Headers, Body: r.Body}
	switch r.State {
	case message.KeyRecordStateFinished:
		reply.Verdict = message.OperationReplyVerdictRan
	case message.KeyRecordStateVoid:
		reply.Verdict = message.OperationReplyVerdictNotRun
	default:
		return refusal(apierror.CodeKeyUnknown, verdict.MayHaveRun, StateUnknown,
			"an earlier keeper stopped while the operation was in progress")
	}
	return reply
}

// applyRange takes a range over if its sender keeps it in this host's view, or
// did so when this host began to keep it. If another host had kept it in
// between, its records would be missing.
func (k *Keeper) applyRange(now time.Time, r message.KeyRange, from incarnation) {
	since := now.Add(-time.Duration(max(r.KeptMs, 0)) * time.Millisecond)
	if k.keptSince[r.Range].IsZero() {
		if k.keeperInView(r.Range, k.view) == from {
			k.inbox.pending[r.Range] = pendingRange{from: from, since: since, receivedAt: now}
		}
		return
	}
	if k.previousKeeper[r.Range] != from {
		return
	}
	k.previousKeeper[r.Range] = incarnation{}
	if since.Before(k.keptSince[r.Range]) {
		k.keptSince[r.Range] = since
	}
}

// awaitingHandover reports whether the host that kept a range before this one
// joined lives and may be about to hand it over.
func (k *Keeper) awaitingHandover(now time.Time, r int) bool {
	from := k.previousKeeper[r]
	return from.host != "" && now.Sub(k.keptSince[r]) < joinHandoverWait &&
		slices.Contains(k.view.Hosts, from.host) && k.view.Incarnations[from.host] == from.number
}
