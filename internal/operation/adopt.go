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
	// adoptionLifetime is how long ranges handed over wait for the view that
	// makes this host their keeper.
	adoptionLifetime = 30 * time.Second
	// joinWait is how long a host that joined refuses the keys of a range until
	// the keeper before it hands the range over.
	joinWait = 3 * time.Second
	// maxIncoming bounds the handovers that a host knows at once.
	maxIncoming = 64
	// maxParts bounds the parts of one of them.
	maxParts = 4096
)

// adoption holds the ranges that other keepers handed to this host and that its
// view does not give it yet.
//
// Invariant: the sender of each range has been its keeper in every view since
// the handover.
type adoption struct {
	ranges map[int]adoptedRange
	// incoming are the handovers of which parts came.
	incoming map[handoverID]*incoming
}

// handoverID identifies a handover among those of all senders.
type handoverID struct {
	from   incarnation
	number int
}

// incoming is a handover of which parts came.
type incoming struct {
	// at is when a part came last.
	at time.Time
	// came holds the numbers of the parts that came.
	came map[int]bool
	// parts is the number of parts, once the last one came.
	parts int
	// ranges are those that the last part names.
	ranges []message.KeyRange
	// taken says that the ranges were taken over.
	taken bool
}

type adoptedRange struct {
	from incarnation
	// since is when the sender began to keep the range.
	since time.Time
	at    time.Time
}

func newAdoption() adoption {
	return adoption{ranges: map[int]adoptedRange{}, incoming: map[handoverID]*incoming{}}
}

// take returns from when on a range that this host begins to keep now has been
// kept without a gap, if it was handed over.
func (a *adoption) take(now time.Time, r int) (since time.Time, ok bool) {
	adopted, ok := a.ranges[r]
	delete(a.ranges, r)
	return adopted.since, ok && now.Sub(adopted.at) <= adoptionLifetime
}

// keepFrom forgets a range that was handed over by anyone but its keeper.
func (a *adoption) keepFrom(r int, keeper incarnation) {
	if adopted, ok := a.ranges[r]; ok && adopted.from != keeper {
		delete(a.ranges, r)
	}
}

// complete notes a part. It returns the handover once all of its parts came,
// and never again.
func (a *adoption) complete(now time.Time, h message.KeyHandover) (*incoming, bool) {
	in := a.incomingOf(now, handoverID{from: senderOf(h), number: h.Number})
	in.at, in.came[h.Part] = now, true
	if h.Last {
		in.parts, in.ranges = h.Part+1, h.Ranges
	}
	if in.taken || in.parts == 0 || len(in.came) < in.parts {
		return nil, false
	}
	in.taken = true
	return in, true
}

// incomingOf returns the handover with an id. Those of which no part came for
// longest give way to a new one.
func (a *adoption) incomingOf(now time.Time, id handoverID) *incoming {
	if in, ok := a.incoming[id]; ok {
		return in
	}
	maps.DeleteFunc(a.incoming, func(_ handoverID, in *incoming) bool { return now.Sub(in.at) > adoptionLifetime })
	if len(a.incoming) >= maxIncoming {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(a.incoming)), func(x, y handoverID) int {
			return a.incoming[x].at.Compare(a.incoming[y].at)
		})
		delete(a.incoming, oldest)
	}
	in := &incoming{at: now, came: map[int]bool{}}
	a.incoming[id] = in
	return in
}

// senderOf returns the incarnation that sent a part.
func senderOf(h message.KeyHandover) incarnation {
	return incarnation{host: h.Host, number: h.Incarnation}
}

// Adopt takes over records and ranges of another keeper. Records only ever add
// to what this host refuses to execute. The ranges count as kept since the
// sender began to keep them, but only if all records arrived and this host was
// meant, in this stay. It reports whether the part needs not come again.
func (k *Keeper) Adopt(now time.Time, h message.KeyHandover) (ack message.KeyHandoverAck, ok bool) {
	to := receiverOf(h)
	if to != k.stayOf(k.config.Host) || k.stale(now) || h.Part < 0 || h.Part >= maxParts {
		return ack, false
	}
	if len(k.records.byID)+len(h.Records) > 2*k.config.Limits.MaxRecords {
		return ack, false
	}
	for _, r := range h.Records {
		k.adoptRecord(now, r)
	}
	if in, ok := k.adoption.complete(now, h); ok {
		k.adoptRanges(now, in.ranges, senderOf(h))
	}
	return message.KeyHandoverAck{
		Host: to.host, Incarnation: to.number, Version: to.version,
		ToIncarnation: h.Incarnation, Number: h.Number, Part: h.Part,
	}, true
}

func (k *Keeper) adoptRanges(now time.Time, ranges []message.KeyRange, from incarnation) {
	for _, r := range ranges {
		if r.Range >= 0 && r.Range < keyRanges {
			k.adoptRange(now, r, from)
		}
	}
}

func (k *Keeper) adoptRecord(now time.Time, r message.KeyRecord) {
	if _, ok := k.records.byID[r.Operation]; ok {
		return
	}
	adopted := &record{
		id: r.Operation, organisation: r.Organisation, fingerprint: r.Fingerprint, keyRange: rangeOf(r.Operation),
		begun: now.Add(-time.Duration(r.AgeMs) * time.Millisecond), expires: now.Add(k.retention()),
	}
	k.records.insert(adopted)
	k.records.finish(r.Operation, adoptedReply(r))
	adopted.dropped = adopted.dropped || r.Dropped
}

func adoptedReply(r message.KeyRecord) message.OperationReply {
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

// adoptRange takes a range over if its sender keeps it in this host's view, or
// did so when this host began to keep it. If another host had kept it in
// between, its records would be missing.
func (k *Keeper) adoptRange(now time.Time, r message.KeyRange, from incarnation) {
	since := now.Add(-time.Duration(max(r.KeptMs, 0)) * time.Millisecond)
	if k.keptSince[r.Range].IsZero() {
		if k.keeper(r.Range, k.view) == from {
			k.adoption.ranges[r.Range] = adoptedRange{from: from, since: since, at: now}
		}
		return
	}
	if k.previous[r.Range] != from {
		return
	}
	k.previous[r.Range] = incarnation{}
	if since.Before(k.keptSince[r.Range]) {
		k.keptSince[r.Range] = since
	}
}

// awaitsHandover reports whether the host that kept a range before this one
// joined lives and may be about to hand it over.
func (k *Keeper) awaitsHandover(now time.Time, r int) bool {
	from := k.previous[r]
	return from.host != "" && now.Sub(k.keptSince[r]) < joinWait &&
		slices.Contains(k.view.Hosts, from.host) && k.view.Incarnations[from.host] == from.number
}
