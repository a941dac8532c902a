package operation

import (
	"context"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/sleep"
)

const (
	// handoverInterval is the time between two parts sent to joining hosts.
	handoverInterval = 50 * time.Millisecond
	// partSendTimeout bounds the wait for a link to the receiver of a part.
	partSendTimeout = 500 * time.Millisecond
	// maxAckWait bounds how long a stopping host waits for acknowledgements.
	// Calls with its keys are delayed meanwhile and time out after
	// maxKeeperWait.
	maxAckWait = time.Second
	// ackPollInterval is the interval at which a stopping host checks for
	// acknowledgements and sends due parts.
	ackPollInterval = 10 * time.Millisecond
)

// Seal stops the execution of new keys on this host; executions in progress
// continue. Calls with new keys wait on the hosts that forward them until the
// next keeper answers. Seal must be the first step of a planned stop, so
// that no key is permanently refused because of the stop.
func (s *Service) Seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Seal()
}

// HandOver stops the execution of keys on this host, sends its ranges and
// records to the next keepers, and waits up to maxAckWait for their
// acknowledgements. It must be called after Wait and before the host announces
// that it leaves.
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

// ReceiveHandoverPart takes over the content of a handover part and
// acknowledges it.
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

// ReceiveHandoverAck processes another host's acknowledgement of a handover
// part.
func (s *Service) ReceiveHandoverAck(a message.KeyHandoverAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.ReceiveHandoverAck(a)
}

// RunHandovers hands key ranges over to joining hosts until ctx ends.
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

// sendNextPart sends the next handover part and reports whether there was one.
// A part that can't be sent is treated like a lost one and sent again.
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
