package control

import (
	"context"

	"mimosafront/internal/message"
)

// handoverQueueSize bounds the received parts of key tables that wait.
const handoverQueueSize = 256

// HandoverKeys sends a part of the key table to the host that it names and
// reports whether it was sent.
func (l *Loop) HandoverKeys(ctx context.Context, h message.KeyHandover) bool {
	if l.awaitLink(ctx, h.To) != nil {
		return false
	}
	return l.transport.Send(h.To, &message.Frame{KeyHandover: &h})
}

// AcknowledgeHandover tells a host that a part of its key table was taken. The
// message may be lost.
func (l *Loop) AcknowledgeHandover(host string, a message.KeyHandoverAck) {
	l.transport.Send(host, &message.Frame{KeyHandoverAck: &a})
}

// SetHandoverHandler sets what takes the key tables of other hosts over, and
// what learns that they took a part. It must be called before Run.
func (l *Loop) SetHandoverHandler(onHandover func(message.KeyHandover), onAck func(message.KeyHandoverAck)) {
	l.onHandover, l.onHandoverAck = onHandover, onAck
}

// handleHandoverAck passes an acknowledgement of another host on.
func (l *Loop) handleHandoverAck(from string, a message.KeyHandoverAck) {
	if l.onHandoverAck != nil && a.Host == from {
		l.onHandoverAck(a)
	}
}

// enqueueHandover queues a part; a part that finds the queue full is lost until
// its sender repeats it.
func (l *Loop) enqueueHandover(h message.KeyHandover) {
	select {
	case l.handovers <- h:
	default:
	}
}

// runHandovers takes the parts over in the order of their arrival.
func (l *Loop) runHandovers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-l.handovers:
			if l.onHandover != nil {
				l.onHandover(h)
			}
		}
	}
}
