package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/status"
)

// States of an entry host in its status.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateStopping = "stopping"
)

// statusQuery collects the status on the control goroutine.
type statusQuery struct{ reply chan status.Report }

func (e statusQuery) apply(l *Loop, now time.Time) { e.reply <- l.statusReport(now) }

// Status returns the state of the entry host for operators, or an empty report if ctx
// ends or the loop has stopped.
func (l *Loop) Status(ctx context.Context) status.Report {
	reply := make(chan status.Report, 1)
	if l.post(ctx, statusQuery{reply: reply}) != nil {
		return status.Report{}
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	case <-l.done:
	}
	return status.Report{}
}

func (l *Loop) statusReport(now time.Time) status.Report {
	s := l.config.Settings.Node
	r := status.Report{
		Host: s.Name, Zone: s.Zone, Incarnation: l.member.Incarnation(),
		State: stateStarting, Requests: l.asker.Waiting() + l.asker.Held(),
		PolicySource: l.config.Policies.Source(),
		StoreEpoch:   l.storeProgress.Epoch, StoreRevision: l.storeProgress.Read,
		Pools: l.coordinator.Status(), Quarantined: l.coordinator.Quarantined(), Rollouts: l.rollouts(),
		EvacuatedZones: slices.Sorted(maps.Keys(l.appliedEvacuated)),
	}
	if p := l.config.Policies.Current(); p != nil {
		r.PolicyGeneration, r.PolicyDigest = p.Generation, p.Digest
		r.PolicyEpochs = l.config.Policies.Version().Written.String()
		if l.member.Joined() {
			r.State = stateReady
		}
	}
	for _, m := range l.member.Members(now) {
		if m.Host == l.host && m.State == message.MemberStateLeaving {
			r.State = stateStopping
		}
		r.Members = append(r.Members, status.Member{
			Host: m.Host, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation,
			State: string(m.State), SilenceMs: int(l.member.Silence(now, m.Host).Milliseconds()),
		})
	}
	return r
}

// leave announces the planned stop.
type leave struct{ done chan struct{} }

func (e leave) apply(l *Loop, now time.Time) {
	l.member.Leave(now)
	l.flush(now)
	close(e.done)
}

// Leave announces that this host is leaving: it hands over its pools and gets no new
// duties. Requests in progress continue; Run must not end before they have ended.
func (l *Loop) Leave(ctx context.Context) error {
	done := make(chan struct{})
	if err := l.post(ctx, leave{done: done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return errStopped
	}
}
