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
	// handoverTTL is how long received ranges wait for a view in which this
	// host is their keeper, and how long a handover is tracked after its latest
	// part arrived.
	handoverTTL = 30 * time.Second
	// joinHandoverWait is how long a host that joined refuses the keys of a
	// range while it waits for the previous keeper's handover.
	joinHandoverWait = 3 * time.Second
	// maxIncomingHandovers bounds the handovers that a host tracks at once.
	maxIncomingHandovers = 64
	// maxHandoverParts bounds the parts of one handover.
	maxHandoverParts = 4096
)

// inbox holds the ranges that other keepers handed to this host, until this host
// becomes their keeper in its own view.
//
// Invariant: the sender of each range has been its keeper in every view since
// the handover.
type inbox struct {
	// ranges holds the pending ranges.
	ranges map[int]pendingRange
	// incoming holds the handovers of which at least one part arrived.
	incoming map[handoverID]*incomingHandover
}

// handoverID identifies a handover among those of all senders.
type handoverID struct {
	from   incarnation
	number int
}

// incomingHandover tracks the parts of one handover.
type incomingHandover struct {
	// lastPartAt is when the latest part arrived.
	lastPartAt time.Time
	// received holds the numbers of the arrived parts.
	received map[int]bool
	// partCount is the number of parts; 0 until the part marked Last arrives.
	partCount int
	// ranges are those that the last part names.
	ranges []message.KeyRange
	// applied is set once the ranges were taken over.
	applied bool
}

// pendingRange is a range handed over before this host became its keeper.
type pendingRange struct {
	from incarnation
	// since is when the sender began to keep the range.
	since      time.Time
	receivedAt time.Time
}

func newInbox() inbox {
	return inbox{ranges: map[int]pendingRange{}, incoming: map[handoverID]*incomingHandover{}}
}

// takePending removes the pending handover of a range that this host begins to
// keep now. It returns the time since which the range has been kept without a
// gap; ok is false if no handover arrived within handoverTTL.
func (a *inbox) takePending(now time.Time, r int) (since time.Time, ok bool) {
	pending, ok := a.ranges[r]
	delete(a.ranges, r)
	return pending.since, ok && now.Sub(pending.receivedAt) <= handoverTTL
}

// discardUnlessFrom drops the pending handover of a range unless it came from
// the given keeper.
func (a *inbox) discardUnlessFrom(r int, keeper incarnation) {
	if pending, ok := a.ranges[r]; ok && pending.from != keeper {
		delete(a.ranges, r)
	}
}

// addPart tracks a part. It returns the handover once, when all its parts have
// arrived.
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

// handoverByID returns the handover with the given ID and adds it if it is new.
// If the inbox is full, the handover whose latest part is the oldest is
// evicted.
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

// ReceiveHandoverPart takes over records and ranges from another keeper and
// returns the acknowledgement of the part. ok is false if the part was not
// accepted and should be sent again.
//
// A part is accepted only if it is addressed to this host's current membership
// and the table then holds at most twice Limits.MaxRecords. Its records only add
// to the operations that this host refuses to execute. A range counts as kept
// since its sender began to keep it, but only after all parts of the handover
// arrived.
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

// applyRecord adds a record that was handed over, unless it exists already.
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

// replyFromRecord returns the reply to replay for a record that was handed over.
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

// applyRange takes a range over if its sender is the keeper in this host's
// view, or was the keeper until this host began to keep the range. Otherwise
// the records of a keeper in between would be missing.
func (k *Keeper) applyRange(now time.Time, r message.KeyRange, from incarnation) {
	since := now.Add(-time.Duration(max(r.KeptMs, 0)) * time.Millisecond)
	if k.keptSince[r.Range].IsZero() {
		if k.keeperInView(r.Range, k.view) == from {
			k.inbox.ranges[r.Range] = pendingRange{from: from, since: since, receivedAt: now}
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

// awaitingHandover reports whether a range must not be used yet because its
// previous keeper is alive and may hand it over. The wait ends joinHandoverWait
// after this host began to keep the range.
func (k *Keeper) awaitingHandover(now time.Time, r int) bool {
	from := k.previousKeeper[r]
	return from.host != "" && now.Sub(k.keptSince[r]) < joinHandoverWait &&
		slices.Contains(k.view.Hosts, from.host) && k.view.Incarnations[from.host] == from.number
}
