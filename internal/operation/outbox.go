package operation

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/message"
)

const (
	// initialAckTimeout is how long the first transmission of a part waits for
	// its acknowledgement. The timeout doubles with each retransmission.
	initialAckTimeout = 200 * time.Millisecond
	// maxPartSends is the maximum number of transmissions of a part.
	maxPartSends = 6
	// outboxLimitFactor bounds the records and bytes in the outbox, as a
	// multiple of the limits of one record table.
	outboxLimitFactor = 2
)

// outbox holds the handovers of one host until each part is acknowledged.
// Unacknowledged parts are retransmitted with exponential backoff and jitter.
//
// Invariant: a part is sent unchanged, to the receiver's membership that it
// names, at most maxPartSends times.
type outbox struct {
	limits    Limits
	handovers []*outgoingHandover
}

// outgoingHandover is a handover with unacknowledged parts.
type outgoingHandover struct {
	to     membership
	number int
	ranges []int
	// parts are the unacknowledged parts.
	parts []*outgoingPart
}

// outgoingPart is an unacknowledged part.
type outgoingPart struct {
	message message.KeyHandover
	// sends is the number of transmissions so far.
	sends int
	// resendAt is when the part is sent again.
	resendAt time.Time
}

// add queues parts, ordered by handover. While the outbox exceeds its limits, it drops the
// oldest handover. It returns those that it dropped.
func (o *outbox) add(parts []message.KeyHandover) (dropped []*outgoingHandover) {
	for _, part := range parts {
		if n := len(o.handovers); n == 0 || o.handovers[n-1].number != part.Number {
			o.handovers = append(o.handovers, &outgoingHandover{to: receiverOf(part), number: part.Number})
		}
		last := o.handovers[len(o.handovers)-1]
		last.parts = append(last.parts, &outgoingPart{message: part})
		for _, r := range part.Ranges {
			last.ranges = append(last.ranges, r.Range)
		}
	}
	for len(parts) > 0 && o.overLimit() {
		dropped = append(dropped, o.handovers[0])
		o.handovers = o.handovers[1:]
	}
	return dropped
}

// overLimit reports whether the unacknowledged parts exceed the limits.
func (o *outbox) overLimit() bool {
	records, bytes := 0, 0
	for _, part := range o.pendingParts() {
		records += len(part.message.Records)
		for _, r := range part.message.Records {
			bytes += len(r.Body)
		}
	}
	return records > outboxLimitFactor*o.limits.MaxRecords || bytes > outboxLimitFactor*o.limits.MaxBytes
}

// pendingParts returns all unacknowledged parts.
func (o *outbox) pendingParts() []*outgoingPart {
	var parts []*outgoingPart
	for _, handover := range o.handovers {
		parts = append(parts, handover.parts...)
	}
	return parts
}

// nextPart returns the part to send now. Parts that were never sent go first
// and in order, because hosts of older versions accept parts only in order.
func (o *outbox) nextPart(now time.Time) (message.KeyHandover, bool) {
	var due *outgoingPart
	for _, part := range o.pendingParts() {
		if part.sends == 0 {
			return part.markSent(now), true
		}
		if part.sends < maxPartSends && !now.Before(part.resendAt) && (due == nil || part.resendAt.Before(due.resendAt)) {
			due = part
		}
	}
	if due == nil {
		return message.KeyHandover{}, false
	}
	return due.markSent(now), true
}

// markSent counts a transmission, schedules the next one and returns the message.
func (p *outgoingPart) markSent(now time.Time) message.KeyHandover {
	wait := initialAckTimeout << p.sends
	p.sends++
	p.resendAt = now.Add(wait + p.jitter(wait))
	return p.message
}

// jitter returns a pseudo-random duration below wait that differs between
// senders and parts.
func (p *outgoingPart) jitter(wait time.Duration) time.Duration {
	m := &p.message
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d/%d", m.Host, m.To, m.Number, m.Part, p.sends))
	return time.Duration(hash % uint64(wait))
}

// acknowledge removes a part that its receiver acknowledged.
func (o *outbox) acknowledge(from membership, number, part int) {
	for _, handover := range o.handovers {
		if handover.to == from && handover.number == number {
			handover.parts = slices.DeleteFunc(handover.parts, func(p *outgoingPart) bool { return p.message.Part == part })
		}
	}
	o.removeMatching(func(handover *outgoingHandover) bool { return len(handover.parts) == 0 })
}

// expire removes and returns the handovers with a part that has used up its
// transmissions.
func (o *outbox) expire(now time.Time) []*outgoingHandover {
	return o.removeMatching(func(handover *outgoingHandover) bool {
		return slices.ContainsFunc(handover.parts, func(p *outgoingPart) bool {
			return p.sends == maxPartSends && !now.Before(p.resendAt)
		})
	})
}

// removeMatching removes and returns the handovers that match.
func (o *outbox) removeMatching(match func(*outgoingHandover) bool) (removed []*outgoingHandover) {
	o.handovers = slices.DeleteFunc(o.handovers, func(handover *outgoingHandover) bool {
		matched := match(handover)
		if matched {
			removed = append(removed, handover)
		}
		return matched
	})
	return removed
}
