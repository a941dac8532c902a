package control

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mimosafront/internal/message"
)

const (
	// maxFlushRounds bounds the rounds of a flush, since frames to this host may cause
	// further frames to it.
	maxFlushRounds = 16
	// relayedCacheSize is the number of relayed hints that are remembered, so that a host
	// that gets one from several others relays it once.
	relayedCacheSize = 1024
)

// flush sends the frames of all states and delivers the outcomes of waiting requests.
// Frames to this host are handled in place.
func (l *Loop) flush(now time.Time) {
	for range maxFlushRounds {
		if !l.flushOnce(now) {
			break
		}
	}
	l.logs.writeAll(l.coordinator.TakeDecisions())
}

// flushOnce runs one round of a flush and reports whether there was any output.
func (l *Loop) flushOnce(now time.Time) bool {
	l.applyMemberEvents(now)
	if l.member.View() != l.view {
		l.applyView(now)
	}
	fromMember := l.member.TakeOutput()
	fromAsker := l.asker.TakeOutput()
	fromCoordinator := l.coordinator.TakeOutput()
	for i := range fromMember {
		l.send(now, fromMember[i].To, &fromMember[i].Frame)
	}
	for i := range fromAsker {
		l.reports.extend(now, fromAsker[i].To)
		l.send(now, fromAsker[i].To, &fromAsker[i].Frame)
	}
	for i := range fromCoordinator {
		l.sendOrBroadcast(now, fromCoordinator[i].To, &fromCoordinator[i].Frame)
	}
	delivered := l.deliverOutcomes(now)
	return delivered || len(fromMember)+len(fromAsker)+len(fromCoordinator) > 0
}

// deliverOutcomes delivers the outcomes of waiting requests and reports whether there
// were any.
func (l *Loop) deliverOutcomes(now time.Time) bool {
	outcomes := l.asker.TakeOutcomes()
	for _, outcome := range outcomes {
		l.deliverOutcome(now, outcome)
	}
	return len(outcomes) > 0
}

// sendOrBroadcast sends a frame to a host, or gossips it to all hosts if to is empty.
func (l *Loop) sendOrBroadcast(now time.Time, to string, f *message.Frame) {
	if f.Quarantines != nil {
		l.quarantines.merge(now, f.Quarantines.Entries)
	}
	if to != "" {
		l.send(now, to, f)
		return
	}
	l.gossip(f, true)
}

// send sends a frame to a host. A frame to this host is handled in place.
func (l *Loop) send(now time.Time, to string, f *message.Frame) {
	if to == l.host {
		l.route(now, l.host, f)
		return
	}
	l.transport.Send(to, f)
}

// route passes a frame to the states that handle it.
func (l *Loop) route(now time.Time, from string, f *message.Frame) {
	switch {
	case f.Heartbeat != nil:
		l.handleHeartbeat(now, from, f)
	case f.Beat != nil:
		if h := l.member.HandleBeat(now, from, f.Beat); h != nil {
			l.handleHeartbeat(now, from, &message.Frame{Heartbeat: h})
		}
	case f.Members != nil:
		l.member.HandleMembers(now, from, f.Members)
	case f.Grant != nil, f.Refusal != nil, f.Redirect != nil, f.Revoke != nil:
		if id := l.asker.Handle(now, from, f); id != "" {
			l.revoke(now, id)
		}
	case f.Ask != nil, f.Withdraw != nil, f.Progress != nil, f.Release != nil, f.Digest != nil:
		l.coordinator.Handle(now, from, f)
	case f.ServerUse != nil:
		l.placer.useReports[from] = useReport{servers: f.ServerUse.Servers, drained: f.ServerUse.Drained, receivedAt: now}
	case f.ServerDrain != nil:
		l.placer.drains.receive(now, from, f.ServerDrain)
	case f.Hint != nil:
		l.handleHint(now, from, f)
	case f.Quarantine != nil:
		l.handleQuarantines(now, from, []message.Quarantine{*f.Quarantine})
	case f.Quarantines != nil:
		l.handleQuarantines(now, from, f.Quarantines.Entries)
	case f.LeavingServers != nil:
		l.handleLeavingServers(now, from, f.LeavingServers.Entries)
	case f.ServerLimits != nil:
		l.handleServerLimits(now, from, f.ServerLimits)
	case f.Evacuations != nil:
		l.handleEvacuations(now, from, f.Evacuations.Entries)
	case f.StoreProgress != nil:
		l.handleStoreProgress(now, from, f.StoreProgress)
	}
}

// handleHeartbeat handles a full heartbeat, either received from a host or stored
// earlier and confirmed by a beat.
func (l *Loop) handleHeartbeat(now time.Time, from string, f *message.Frame) {
	if from != l.host {
		l.member.HandleHeartbeat(now, from, f.Heartbeat)
		l.policies.handleHeartbeat(now, from, f.Heartbeat)
	}
	if f.Heartbeat.Solicits {
		l.reports.setDue(from)
		l.sendQuarantines(now, from)
		l.sendLeavingServers(now, from)
		l.sendServerLimits(now, from)
		l.sendEvacuations(now, from)
	}
	l.coordinator.Handle(now, from, f)
}

// handleHint applies a hint and relays it. A hint takes at most three hops, so that hints
// never circulate: from its sender to the hosts of that zone, from the relays there to
// those of the other zones, and from each of these to its own zone.
func (l *Loop) handleHint(now time.Time, from string, f *message.Frame) {
	l.coordinator.Handle(now, from, f)
	ownZone := l.config.Settings.Node.Zone
	switch zone := l.member.Zone(from); {
	case zone == "" || !l.firstSeen(now, f):
	case zone != ownZone:
		l.sendToZone(now, f)
	case from == f.Hint.Host:
		l.gossip(f, false)
	}
}

// sendToZone sends a frame to the other hosts of the own zone.
func (l *Loop) sendToZone(now time.Time, f *message.Frame) {
	for _, host := range l.member.ZoneHosts(now) {
		if host != l.host {
			l.transport.Send(host, f)
		}
	}
}

// relayFrame gossips a frame from another host: to the own zone if that host is in
// another zone, and to the relays of the other zones if this host is a relay.
func (l *Loop) relayFrame(from string, f *message.Frame) {
	l.gossip(f, l.member.Zone(from) != l.config.Settings.Node.Zone)
}

// relayRepeatTime is the time after which an equal hint is news again.
const relayRepeatTime = time.Second

// firstSeen records a hint as relayed and reports whether no equal one was relayed within
// relayRepeatTime. It knows the last relayedCacheSize hints.
func (l *Loop) firstSeen(now time.Time, f *message.Frame) bool {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return false
	}
	key := xxhash.Sum64(payload)
	if last, ok := l.relayed.Get(key); ok && now.Sub(last) < relayRepeatTime {
		return false
	}
	l.relayed.Add(key, now)
	return true
}

// gossip sends a frame to the other hosts of the own zone if ownZone is set, and to the
// relays of the other zones if this host is a relay.
func (l *Loop) gossip(f *message.Frame, ownZone bool) {
	for _, host := range l.member.GossipTargets(ownZone) {
		l.transport.Send(host, f)
	}
}

// revoke revokes the lease of a grant. A dispatched lease is released by its traffic
// goroutine when the stream has ended. The grant may have arrived in the same turn;
// then its lease exists only after the outcomes are delivered.
func (l *Loop) revoke(now time.Time, id string) {
	l.deliverOutcomes(now)
	lease := l.leases[id]
	if lease == nil {
		return
	}
	if lease.revoke() {
		delete(l.leases, id)
		l.asker.Release(message.Release{Grant: id, Outcome: message.ReleaseOutcomeRevoked})
	}
}
