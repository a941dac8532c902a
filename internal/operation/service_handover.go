package operation

import (
	"context"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sleep"
)

const (
	// handoverInterval is the time between two parts that a host sends to hosts that
	// joined.
	handoverInterval = 50 * time.Millisecond
	// partSendTimeout bounds the wait for a link to the receiver of a part.
	partSendTimeout = 500 * time.Millisecond
	// maxAckWait is how long a host that stops waits for acknowledgements. Calls
	// wait meanwhile, for maxKeeperWait at most.
	maxAckWait = time.Second
	// ackPollInterval is the interval at which it looks.
	ackPollInterval = 10 * time.Millisecond
)

// Seal ends the execution of new keys on this host; those in progress end. Other
// hosts that forward keys wait for the next keeper. It comes first at a planned
// stop, so that no key is refused for good on account of it.
func (s *Service) Seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Seal()
}

// HandOver ends the execution of keys on this host, sends the next keepers what
// they need to know, and waits for a moment until they have it. It must be
// called after Wait and before the host announces that it leaves.
func (s *Service) HandOver(ctx context.Context) {
	s.Refresh()
	s.mu.Lock()
	s.keeper.QueueFinalHandover(s.clock.Now())
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxAckWait)
	defer cancel()
	for s.sendNextPart(ctx, "key table handed over") {
	}
	for s.pendingHandovers() > 0 && ctx.Err() == nil {
		s.sendNextPart(ctx, "key table handed over")
		sleep.For(ctx, ackPollInterval)
	}
}

func (s *Service) pendingHandovers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.PendingHandovers()
}

// ReceiveHandoverPart takes over what another keeper handed to this host.
func (s *Service) ReceiveHandoverPart(h message.KeyHandover) {
	if ack, ok := s.receiveHandoverPart(h); ok {
		s.config.Forwarder.AcknowledgeHandover(h.Host, ack)
	}
}

func (s *Service) receiveHandoverPart(h message.KeyHandover) (message.KeyHandoverAck, bool) {
	s.Refresh()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.ReceiveHandoverPart(s.clock.Now(), h)
}

// ReceiveHandoverAck notes that another host took a part of a handover.
func (s *Service) ReceiveHandoverAck(a message.KeyHandoverAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.ReceiveHandoverAck(a)
}

// RunHandovers hands key ranges to the hosts that join, until ctx ends.
func (s *Service) RunHandovers(ctx context.Context) {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendNextPart(ctx, "keys handed over to a host that joined")
		}
	}
}

// sendNextPart sends the next part and reports whether there was one. A part that
// can't be sent is as one that is lost: it comes again.
func (s *Service) sendNextPart(ctx context.Context, event string) bool {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	next, ok := s.nextPart()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, partSendTimeout)
	defer cancel()
	sent := s.config.Forwarder.HandoverKeys(ctx, next)
	s.config.Logger.Info(event, "host", next.To, "handover", next.Number, "part", next.Part,
		"ranges", len(next.Ranges), "records", len(next.Records), "sent", sent)
	return true
}

func (s *Service) nextPart() (message.KeyHandover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, a := range s.keeper.TakeAbandoned(now) {
		s.config.Logger.Info("key handover abandoned", "host", a.Host, "ranges", a.Ranges, "reason", a.Reason)
	}
	return s.keeper.NextPart(now)
}
