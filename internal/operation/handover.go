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
	// maxPartBytes bounds the answer bytes in one part. It is below the largest
	// frame.
	maxPartBytes = 512 << 10
	// joinDrainTimeout is how long a range that moves to a joining host waits
	// for its executions in progress.
	joinDrainTimeout = 2 * time.Second
)

// membership is one continuous membership of a host in its zone. It ends when
// the host restarts or is declared suspect or dead by others.
type membership struct {
	incarnation
	version int
}

// rangeMove is a range that changes its keeper.
type rangeMove struct {
	to membership
	// since is when this host began to keep the range; zero if it doesn't keep
	// it.
	since time.Time
	// sealedAt is when this host stopped executing the keys of the range.
	sealedAt time.Time
}

// receiverOf returns the membership that a part is addressed to.
func receiverOf(h message.KeyHandover) membership {
	return membership{incarnation: incarnation{host: h.To, number: h.ToIncarnation}, version: h.ToVersion}
}

func (k *Keeper) membershipOf(host string) membership {
	return membership{incarnation: incarnation{host: host, number: k.view.Incarnations[host]}, version: k.view.Versions[host]}
}

// releaseRange stops keeping a range and queues its move to the new keeper.
func (k *Keeper) releaseRange(now time.Time, r int, keeper string) {
	if since := k.keptSince[r]; !since.IsZero() && keeper != "" {
		k.pendingMoves[r] = rangeMove{to: k.membershipOf(keeper), since: since, sealedAt: now}
	}
	k.keptSince[r] = time.Time{}
}

// Seal permanently stops the execution of new keys. Calls with existing records
// are still answered.
func (k *Keeper) Seal() { k.sealed = true }

// FinalHandover seals the keeper and returns its records, in parts, for the
// hosts that will keep its ranges next. It must be called after the last
// execution ended and before the host announces that it leaves; executions
// still in progress are handed over with an unknown outcome.
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

// JoinHandover returns, in parts, ranges released to joining hosts and their
// records. Each range is returned once: when it has no execution in progress,
// or after joinDrainTimeout.
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
			k.addAbandoned(m.to.host, reasonReceiverRejoined, 1)
			continue
		}
		ready[r] = m
	}
	return k.buildHandovers(now, ready)
}

// AbandonedHandover describes ranges whose records never reach the next keeper.
// That keeper refuses some of their keys until it has kept the ranges for a
// retry window.
type AbandonedHandover struct {
	// Host is the next keeper.
	Host string
	// Reason is one of the reason constants.
	Reason string
	// Ranges is the number of ranges.
	Ranges int
}

// Reasons for abandoning ranges, as logged.
const (
	reasonReceiverRejoined  = "the receiver rejoined"
	reasonSenderInterrupted = "this host was paused or declared dead"
	reasonLongerWindow      = "the retry window became longer"
	reasonRangeReacquired   = "this host keeps a range again"
	reasonNotAcknowledged   = "no acknowledgement received"
	reasonOutboxFull        = "too many handovers wait for an acknowledgement"
)

// addAbandoned adds a number of ranges to those that TakeAbandoned returns.
func (k *Keeper) addAbandoned(host, reason string, ranges int) {
	for i := range k.abandoned {
		if a := &k.abandoned[i]; a.Host == host && a.Reason == reason {
			a.Ranges += ranges
			return
		}
	}
	k.abandoned = append(k.abandoned, AbandonedHandover{Host: host, Reason: reason, Ranges: ranges})
}

// abandonPendingMoves drops all moves that are not in the outbox yet.
func (k *Keeper) abandonPendingMoves(reason string) {
	for _, m := range k.pendingMoves {
		k.addAbandoned(m.to.host, reason, 1)
	}
	clear(k.pendingMoves)
}

// addAbandonedHandovers adds the ranges of handovers that were dropped from the
// outbox.
func (k *Keeper) addAbandonedHandovers(reason string, dropped []*outgoingHandover) {
	for _, handover := range dropped {
		k.addAbandoned(handover.to.host, reason, len(handover.ranges))
	}
}

// TakeAbandoned drops handovers that are obsolete or ran out of retries. It
// returns the ranges abandoned since the last call, grouped by host and reason.
func (k *Keeper) TakeAbandoned(now time.Time) []AbandonedHandover {
	k.addAbandonedHandovers(reasonReceiverRejoined, k.outbox.removeMatching(k.receiverRejoined))
	k.addAbandonedHandovers(reasonRangeReacquired, k.outbox.removeMatching(k.rangeReacquired))
	k.addAbandonedHandovers(reasonNotAcknowledged, k.outbox.expire(now))
	abandoned := k.abandoned
	k.abandoned = nil
	return abandoned
}

// QueueFinalHandover seals the keeper and puts its final handover in the
// outbox.
func (k *Keeper) QueueFinalHandover(now time.Time) { k.queueParts(k.FinalHandover(now)) }

// queueParts puts parts in the outbox.
func (k *Keeper) queueParts(parts []message.KeyHandover) {
	k.addAbandonedHandovers(reasonOutboxFull, k.outbox.add(parts))
}

// NextPart returns the handover part to send now, if any. A part is returned
// again until it is acknowledged or its handover expires.
func (k *Keeper) NextPart(now time.Time) (message.KeyHandover, bool) {
	if k.stale(now) {
		return message.KeyHandover{}, false
	}
	k.queueParts(k.JoinHandover(now))
	return k.outbox.nextPart(now)
}

// receiverRejoined reports whether the membership that a handover is addressed
// to has ended.
func (k *Keeper) receiverRejoined(o *outgoingHandover) bool { return k.membershipOf(o.to.host) != o.to }

// rangeReacquired reports whether this host keeps a range of a handover again
// and may have executed keys of it since.
func (k *Keeper) rangeReacquired(o *outgoingHandover) bool {
	return !k.sealed && slices.ContainsFunc(o.ranges, func(r int) bool { return !k.keptSince[r].IsZero() })
}

// ReceiveHandoverAck removes a part that its receiver acknowledged.
func (k *Keeper) ReceiveHandoverAck(a message.KeyHandoverAck) {
	if a.ToIncarnation != k.view.Incarnations[k.config.Host] {
		return
	}
	from := membership{incarnation: incarnation{host: a.Host, number: a.Incarnation}, version: a.Version}
	k.outbox.acknowledge(from, a.Number, a.Part)
}

// PendingHandovers returns the number of handovers with unacknowledged parts.
func (k *Keeper) PendingHandovers() int { return len(k.outbox.handovers) }

// busyRanges returns the ranges with an execution in progress.
func (k *Keeper) busyRanges() (busy [keyRangeCount]bool) {
	for _, rec := range k.records.byID {
		if !rec.finished {
			busy[rec.keyRange] = true
		}
	}
	return busy
}

// buildHandovers returns moving ranges and their records, in parts, for the
// next keepers. The time for which a range was kept is reported as at most the
// retention of this host's records, because the receiver's retry window may be
// longer.
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

// builder returns the handover builder for a receiver, creating it if
// necessary.
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

// handoverBuilder splits the records for one receiver into numbered parts. The
// last part lists the ranges.
type handoverBuilder struct {
	header message.KeyHandover
	// maxRecords bounds the records of a part.
	maxRecords int

	ranges []message.KeyRange
	parts  []message.KeyHandover
	// current holds the records of the unfinished part, bytes the total size
	// of their answers.
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

// toMessage returns the wire form of the record.
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
