package operation

import (
	"cmp"
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// DefaultMaxPartRecords bounds the records in one part of a handover.
	DefaultMaxPartRecords = 256
	// maxPartBytes bounds the answers in one part, below the largest frame.
	maxPartBytes = 512 << 10
	// joinDrainTimeout is how long a range that moves to a host that joined waits
	// for its executions in progress.
	joinDrainTimeout = 2 * time.Second
)

// membership is one stay of a host among the members of its zone. It ends when the
// host restarts, or when others hold it for dead.
type membership struct {
	incarnation
	version int
}

// rangeMove is a range that changes its keeper.
type rangeMove struct {
	to membership
	// since is when this host began to keep the range; zero if it does not.
	since time.Time
	// sealedAt is when this host stopped to execute its keys.
	sealedAt time.Time
}

// receiverOf returns the stay of the host that a part is for.
func receiverOf(h message.KeyHandover) membership {
	return membership{incarnation: incarnation{host: h.To, number: h.ToIncarnation}, version: h.ToVersion}
}

func (k *Keeper) membershipOf(host string) membership {
	return membership{incarnation: incarnation{host: host, number: k.view.Incarnations[host]}, version: k.view.Versions[host]}
}

// timeout seals a range that another host keeps in the view.
func (k *Keeper) releaseRange(now time.Time, r int, keeper string) {
	if since := k.keptSince[r]; !since.IsZero() && keeper != "" {
		k.pendingMoves[r] = rangeMove{to: k.membershipOf(keeper), since: since, sealedAt: now}
	}
	k.keptSince[r] = time.Time{}
}

// Seal ends the execution of keys for good. Records are still answered from.
func (k *Keeper) Seal() { k.sealed = true }

// FinalHandover seals the keeper and returns its records, in parts, for the hosts
// that keep its ranges next in its own view. It must be called before the host
// announces that it leaves and after its last execution ended; an execution
// that is still in progress is handed over as unknown.
func (k *Keeper) FinalHandover(now time.Time) []message.KeyHandover {
	k.Seal()
	if k.stale(now) {
		return nil
	}
	moves, successors := k.pendingMoves, k.otherHosts()
	k.pendingMoves = map[int]rangeMove{}
	for r, since := range k.keptSince {
		if _, ok := moves[r]; ok || len(successors) == 0 {
			continue
		}
		moves[r] = rangeMove{to: k.membershipOf(rangeKeeper(r, successors)), since: since}
	}
	return k.buildHandovers(now, moves)
}

// JoinHandover returns the records of the ranges that this host gave up for
// hosts that joined and in which no execution is in progress any more. Each
// range is returned once.
func (k *Keeper) JoinHandover(now time.Time) []message.KeyHandover {
	if len(k.pendingMoves) == 0 || k.stale(now) {
		return nil
	}
	busy := k.busyRanges()
	ready := map[int]rangeMove{}
	for r, m := range k.pendingMoves {
		if busy[r] && now.Sub(m.sealedAt) < joinDrainTimeout {
			continue
		}
		delete(k.pendingMoves, r)
		if k.membershipOf(m.to.host) != m.to {
			k.recordAbandoned(m.to.host, reasonReceiverRejoined, 1)
			continue
		}
		ready[r] = m
	}
	return k.buildHandovers(now, ready)
}

// AbandonedHandover tells of ranges that their next keeper never takes over with what this
// host knew of them. That keeper refuses some of their keys for a time.
type AbandonedHandover struct {
	Host   string
	Reason string
	Ranges int
}

// The reasons for which ranges are abandoned.
const (
	reasonReceiverRejoined  = "the receiver joined anew"
	reasonSenderInterrupted = "this host stood still or was held for dead"
	reasonLongerWindow      = "the retry window became longer"
	reasonRangeReacquired   = "this host keeps a range again"
	reasonNotAcknowledged   = "no acknowledgement came"
)

func (k *Keeper) recordAbandoned(host, reason string, ranges int) {
	for i := range k.abandoned {
		if a := &k.abandoned[i]; a.Host == host && a.Reason == reason {
			a.Ranges += ranges
			return
		}
	}
	k.abandoned = append(k.abandoned, AbandonedHandover{Host: host, Reason: reason, Ranges: ranges})
}

// abandonPendingMoves forgets all ranges that were not exported yet.
func (k *Keeper) abandonPendingMoves(reason string) {
	for _, m := range k.pendingMoves {
		k.recordAbandoned(m.to.host, reason, 1)
	}
	clear(k.pendingMoves)
}

// abandonHandovers notes handovers that were dropped from the outbox.
func (k *Keeper) abandonHandovers(reason string, dropped []*outgoingHandover) {
	for _, handover := range dropped {
		k.recordAbandoned(handover.to.host, reason, len(handover.ranges))
	}
}

// TakeAbandoned ends the handovers that are of no use any more, or that were sent as
// often as they may be, and returns what was abandoned since the last call.
func (k *Keeper) TakeAbandoned(now time.Time) []AbandonedHandover {
	k.abandonHandovers(reasonReceiverRejoined, k.outbox.removeMatching(k.receiverRejoined))
	k.abandonHandovers(reasonRangeReacquired, k.outbox.removeMatching(k.rangeReacquired))
	k.abandonHandovers(reasonNotAcknowledged, k.outbox.expire(now))
	abandoned := k.abandoned
	k.abandoned = nil
	return abandoned
}

// QueueFinalHandover seals the keeper and makes its last handover ready for NextPart.
func (k *Keeper) QueueFinalHandover(now time.Time) { k.outbox.add(k.FinalHandover(now)) }

// NextPart returns the part of a handover that is to be sent now. A part comes
// again until it was acknowledged, or until the handover lapsed.
func (k *Keeper) NextPart(now time.Time) (message.KeyHandover, bool) {
	if k.stale(now) {
		return message.KeyHandover{}, false
	}
	k.outbox.add(k.JoinHandover(now))
	return k.outbox.nextPart(now)
}

// receiverRejoined reports whether the receiver of a handover began another stay.
func (k *Keeper) receiverRejoined(o *outgoingHandover) bool { return k.membershipOf(o.to.host) != o.to }

// rangeReacquired reports whether this host keeps a range of a handover again and may have
// executed keys since.
func (k *Keeper) rangeReacquired(o *outgoingHandover) bool {
	return !k.sealed && slices.ContainsFunc(o.ranges, func(r int) bool { return !k.keptSince[r].IsZero() })
}

// ReceiveHandoverAck notes that the receiver of a handover took a part of it.
func (k *Keeper) ReceiveHandoverAck(a message.KeyHandoverAck) {
	if a.ToIncarnation != k.view.Incarnations[k.config.Host] {
		return
	}
	from := membership{incarnation: incarnation{host: a.Host, number: a.Incarnation}, version: a.Version}
	k.outbox.acknowledge(from, a.Number, a.Part)
}

// PendingHandovers returns the number of handovers that were not acknowledged
// yet.
func (k *Keeper) PendingHandovers() int { return len(k.outbox.handovers) }

// busyRanges returns the ranges in which an operation is being executed.
func (k *Keeper) busyRanges() (busy [keyRangeCount]bool) {
	for _, rec := range k.records.byID {
		if !rec.finished {
			busy[rec.keyRange] = true
		}
	}
	return busy
}

// toMessage returns moving ranges and their records in parts for their next
// keepers. The age of a range is not told beyond the time for which this host
// remembers operations; the receiver's retry window may be a longer one.
func (k *Keeper) buildHandovers(now time.Time, moves map[int]rangeMove) []message.KeyHandover {
	builders := map[membership]*handoverBuilder{}
	for r := range keyRangeCount {
		if m, ok := moves[r]; ok && !m.since.IsZero() {
			age := min(now.Sub(m.since), k.retention())
			b := k.builder(builders, m.to)
			b.ranges = append(b.ranges, message.KeyRange{Range: r, KeptMs: int(age / time.Millisecond)})
		}
	}
	for _, rec := range k.records.byID {
		if m, ok := moves[rec.keyRange]; ok {
			k.builder(builders, m.to).add(rec.toMessage(now))
		}
	}
	return collectParts(builders)
}

// builder returns the builder of the handover to a host.
func (k *Keeper) builder(builders map[membership]*handoverBuilder, to membership) *handoverBuilder {
	b := builders[to]
	if b == nil {
		k.handoverCount++
		b = &handoverBuilder{maxRecords: k.config.MaxPartRecords, header: message.KeyHandover{
			Host: k.config.Host, Incarnation: k.view.Incarnations[k.config.Host], Number: k.handoverCount,
			To: to.host, ToIncarnation: to.number, ToVersion: to.version,
		}}
		builders[to] = b
	}
	return b
}

func collectParts(builders map[membership]*handoverBuilder) []message.KeyHandover {
	var parts []message.KeyHandover
	for _, b := range builders {
		parts = append(parts, b.finish()...)
	}
	slices.SortStableFunc(parts, func(a, b message.KeyHandover) int { return cmp.Compare(a.Number, b.Number) })
	return parts
}

// handoverBuilder cuts the records for one heir into numbered parts. The ranges
// travel in the last one.
type handoverBuilder struct {
	header message.KeyHandover
	// maxRecords bounds the records of a part.
	maxRecords int

	ranges  []message.KeyRange
	parts   []message.KeyHandover
	current []message.KeyRecord
	bytes   int
}

func (b *handoverBuilder) add(r message.KeyRecord) {
	if len(b.current) >= b.maxRecords || b.bytes >= maxPartBytes {
		b.flush()
	}
	b.current = append(b.current, r)
	b.bytes += len(r.Body)
}

func (b *handoverBuilder) flush() {
	part := b.header
	part.Part, part.Records = len(b.parts), b.current
	b.parts = append(b.parts, part)
	b.current, b.bytes = nil, 0
}

func (b *handoverBuilder) finish() []message.KeyHandover {
	b.flush()
	last := &b.parts[len(b.parts)-1]
	last.Last = true
	last.Ranges = b.ranges
	return b.parts
}

// toMessage returns the record as another host needs it.
func (r *record) toMessage(now time.Time) message.KeyRecord {
	out := message.KeyRecord{
		Operation:    r.id,
		Organisation: r.organisation,
		Fingerprint:  r.fingerprint,
		Range:        r.keyRange,
		AgeMs:        int(now.Sub(r.startedAt) / time.Millisecond),
		State:        message.KeyRecordStateUnknown,
	}
	if !r.finished {
		return out
	}
	if r.reply.Verdict == message.OperationReplyVerdictNotRun {
		out.State = message.KeyRecordStateVoid
	}
	if r.reply.Verdict == message.OperationReplyVerdictRan {
		out.State = message.KeyRecordStateFinished
	}
	out.Status, out.Headers, out.Body = r.reply.Status, r.reply.Headers, r.reply.Body
	out.Code, out.Dropped = r.reply.Code, r.answerDropped
	return out
}
