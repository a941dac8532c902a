package control

import (
	"context"

	"mimosafront/internal/message"
)

// handoverQueueSize bounds the received parts of key tables that wait to be taken over.
const handoverQueueSize = 256

// HandoverKeys sends a part of the key table to the host named in it and reports
// whether it was sent.
func (l *Loop) HandoverKeys(ctx context.Context, h message.KeyHandover) bool {
	if l.awaitLink(ctx, h.To) != nil {
		return false
	}
	return l.transport.Send(h.To, &message.Frame{KeyHandover: &h})
}

// AcknowledgeHandover confirms to a host that a part of its key table was taken over.
// The message may be lost.
func (l *Loop) AcknowledgeHandover(host string, a message.KeyHandoverAck) {
	l.transport.Send(host, &message.Frame{KeyHandoverAck: &a})
}

// SetHandoverHandler sets the function that takes over key tables of other hosts and
// the one that receives their acknowledgements. It must be called before Run.
func (l *Loop) SetHandoverHandler(onHandover func(message.KeyHandover), onAck func(message.KeyHandoverAck)) {
	l.onHandover, l.onHandoverAck = onHandover, onAck
}

// handleHandoverAck passes on an acknowledgement if its sender is the host named in it.
func (l *Loop) handleHandoverAck(from string, a message.KeyHandoverAck) {
	if l.onHandoverAck != nil && a.Host == from {
		l.onHandoverAck(a)
	}
}

// enqueueHandover queues a received part. If the queue is full, the part is dropped;
// its sender repeats it.
func (l *Loop) enqueueHandover(h message.KeyHandover) {
	select {
	case l.handovers <- h:
	default:
	}
}

// runHandovers takes over the parts in the order of their arrival, until ctx ends.
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
