package operation

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

const (
	// firstAckTime is how long the first sending of a part waits for its
	// acknowledgement. Each further one waits twice as long.
	firstAckTime = 200 * time.Millisecond
	// maxSends is how often a part is sent at most.
	maxSends = 6
	// outboxTables bounds the handovers that are under way, as a multiple of the
	// limits of one record table.
	outboxTables = 2
)

// outbox holds the handovers of one host until each part was acknowledged.
//
// Invariant: a part is sent as it was exported, to the stay of the receiver that
// it names, maxSends times at most.
type outbox struct {
	limits    Limits
	handovers []*outgoing
}

// outgoing is a handover under way.
type outgoing struct {
	to     stay
	number int
	ranges []int
	// parts are those not acknowledged yet.
	parts []*outgoingPart
}

type outgoingPart struct {
	message message.KeyHandover
	sends   int
	// due is when the part is sent again.
	due time.Time
}

// add queues parts, ordered by handover. Beyond its bounds the outbox drops the
// oldest handovers.
func (o *outbox) add(parts []message.KeyHandover) {
	for _, part := range parts {
		if n := len(o.handovers); n == 0 || o.handovers[n-1].number != part.Number {
			o.handovers = append(o.handovers, &outgoing{to: receiverOf(part), number: part.Number})
		}
		last := o.handovers[len(o.handovers)-1]
		last.parts = append(last.parts, &outgoingPart{message: part})
		for _, r := range part.Ranges {
			last.ranges = append(last.ranges, r.Range)
		}
	}
	for len(parts) > 0 && o.full() {
		o.handovers = o.handovers[1:]
	}
}

func (o *outbox) full() bool {
	records, bytes := 0, 0
	for _, part := range o.parts() {
		records += len(part.message.Records)
		for _, r := range part.message.Records {
			bytes += len(r.Body)
		}
	}
	return records > outboxTables*o.limits.MaxRecords || bytes > outboxTables*o.limits.MaxBytes
}

// parts returns all parts that were not acknowledged.
func (o *outbox) parts() []*outgoingPart {
	var parts []*outgoingPart
	for _, handover := range o.handovers {
		parts = append(parts, handover.parts...)
	}
	return parts
}

// next returns the part to send now. Those that were never sent go first and in
// order, since hosts of older versions take parts in order only.
func (o *outbox) next(now time.Time) (message.KeyHandover, bool) {
	var due *outgoingPart
	for _, part := range o.parts() {
		if part.sends == 0 {
			return part.send(now), true
		}
		if part.sends < maxSends && !now.Before(part.due) && (due == nil || part.due.Before(due.due)) {
			due = part
		}
	}
	if due == nil {
		return message.KeyHandover{}, false
	}
	return due.send(now), true
}

func (p *outgoingPart) send(now time.Time) message.KeyHandover {
	wait := firstAckTime << p.sends
	p.sends++
	p.due = now.Add(wait + p.jitter(wait))
	return p.message
}

// jitter returns a time below the wait that differs among senders and parts.
func (p *outgoingPart) jitter(wait time.Duration) time.Duration {
	m := &p.message
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d/%d", m.Host, m.To, m.Number, m.Part, p.sends))
	return time.Duration(hash % uint64(wait))
}

// acknowledge removes a part that its receiver took.
func (o *outbox) acknowledge(from stay, number, part int) {
	for _, handover := range o.handovers {
		if handover.to == from && handover.number == number {
			handover.parts = slices.DeleteFunc(handover.parts, func(p *outgoingPart) bool { return p.message.Part == part })
		}
	}
	o.drop(func(handover *outgoing) bool { return len(handover.parts) == 0 })
}

// lapse removes the handovers that were sent as often as they may be.
func (o *outbox) lapse(now time.Time) []*outgoing {
	return o.drop(func(handover *outgoing) bool {
		return slices.ContainsFunc(handover.parts, func(p *outgoingPart) bool {
			return p.sends == maxSends && !now.Before(p.due)
		})
	})
}

// drop removes handovers and returns them.
func (o *outbox) drop(which func(*outgoing) bool) (dropped []*outgoing) {
	o.handovers = slices.DeleteFunc(o.handovers, func(handover *outgoing) bool {
		drop := which(handover)
		if drop {
			dropped = append(dropped, handover)
		}
		return drop
	})
	return dropped
}
