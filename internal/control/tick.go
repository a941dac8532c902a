package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/peer"
	"mimosafront/internal/policy"
)

// tick drives all timers.
type tick struct{}

func (tick) apply(l *Loop, now time.Time) {
	// The policyChanged event is dropped if the inbox is full.
	l.applyPolicy(now)
	if !now.Before(l.nextMembershipTick) {
		l.nextMembershipTick = now.Add(membershipInterval)
		l.member.Tick(now)
		l.applyContact(now)
	}
	l.syncLeases(now)
	l.asker.Tick(now)
	l.coordinator.Tick(now)
	l.logs.countPrefixChecks(l.coordinator.TakePrefixCounts())
	if !now.Before(l.nextProgress) {
		l.nextProgress = now.Add(progressInterval(l.asker.Held()))
		l.asker.SendProgress(now)
	}
	if !now.Before(l.nextLinkUpdate) {
		l.updateLinks(now)
		l.updateStoreRole(now)
		l.applyLeaving(now)
		l.applyLimits(now)
	}
	l.sharePending(now)
	l.sendReports(now)
	l.tickPlacement(now)
	l.monitorInbox(now)
}

// monitorInbox updates the gauge of waiting events and logs a warning if there are
// many.
func (l *Loop) monitorInbox(now time.Time) {
	waiting := len(l.inbox)
	l.inboxLength.Update(float64(waiting))
	if waiting >= inboxWarnLength && !now.Before(l.nextInboxWarning) {
		l.nextInboxWarning = now.Add(inboxWarnInterval)
		kind, count := l.frames.mostFrequent()
		l.config.Logger.Warn("control loop is behind", "waiting", waiting, "mostly", kind, "count", count, "within", now.Sub(l.frames.since))
	}
	if now.Sub(l.frames.since) >= inboxWarnInterval {
		l.frames.reset(now)
	}
}

// applyPolicy passes the policy in force to the states that depend on it, if it differs
// from appliedPolicy.
func (l *Loop) applyPolicy(now time.Time) {
	p := l.config.Policies.Current()
	if p == nil {
		return
	}
	version := l.config.Policies.Version()
	if p == l.appliedPolicy {
		// The policy in force may have been written again, in a later epoch.
		l.member.SetPolicy(version.Generation, version.Written)
		return
	}
	l.appliedPolicy = p
	l.config.Announcements.SetServers(now, p.Servers)
	l.member.SetPolicy(version.Generation, version.Written)
	l.member.SendHeartbeatsNow(now)
	l.coordinator.SetPolicy(now, p)
	l.applyView(now)
}

// applyView passes the membership view to the states that depend on it.
func (l *Loop) applyView(now time.Time) {
	l.view = l.member.View()
	l.updateStoreRole(now)
	p := l.config.Policies.Current()
	if p == nil {
		return
	}
	owned := l.view.OwnedPools(p.Pools())
	gained := l.setOwnedPools(owned)
	l.applyLeaving(now)
	l.applyLimits(now)
	l.applyEvacuations(now, sourceStore)
	l.coordinator.SetOwned(now, owned)
	l.coordinator.SetFronts(now, l.member.ZoneHosts(now))
	l.coordinator.SetSiblings(now, l.siblings(p, owned))
	l.coordinator.SetZonePeers(l.zonePeers(p, owned))
	l.loads.watch(ownedEngines(p, owned))
	l.setTopology(now, p)
	l.nextLinkUpdate = now
	if gained {
		l.solicitReports(now)
	}
}

// applyContact passes the contact with the own zone to the coordinated pools, if it changed
// and divides the bounds of any server.
func (l *Loop) applyContact(now time.Time) {
	c := l.member.Contact()
	p := l.config.Policies.Current()
	if p == nil || c.Equal(l.appliedContact) || !p.BoundsCold() {
		return
	}
	l.config.Logger.Info("contact with the zone", "in_touch", len(c.InTouch), "known", len(c.Known))
	l.appliedContact = c
	l.coordinator.SetContact(now, c)
}

// setOwnedPools stores the pools that this host coordinates and reports whether any of
// them is new.
func (l *Loop) setOwnedPools(owned []message.Pool) bool {
	old := l.ownedPools
	l.ownedPools = make(map[message.Pool]bool, len(owned))
	gained := false
	for _, pool := range owned {
		l.ownedPools[pool] = true
		gained = gained || !old[pool]
	}
	return gained
}

// solicitReports requests a report from all hosts of the zone and, on a relay, from the
// relays of the other zones.
func (l *Loop) solicitReports(now time.Time) {
	for _, host := range append(l.member.GossipTargets(true), l.host) {
		h := l.member.Heartbeat()
		h.Solicits = true
		l.send(now, host, &message.Frame{Heartbeat: h})
	}
}

// siblings returns, for each owned pool, the hosts that coordinate its target in the
// other zones.
func (l *Loop) siblings(p *policy.Policy, owned []message.Pool) map[message.Pool][]string {
	siblings := make(map[message.Pool][]string, len(owned))
	for _, pool := range owned {
		for _, zone := range p.ZonesOf(pool.Target) {
			if zone == pool.Zone {
				continue
			}
			if host, ok := l.view.Coordinator(message.Pool{Zone: zone, Target: pool.Target, Shard: pool.Shard}); ok {
				siblings[pool] = append(siblings[pool], host)
			}
		}
	}
	return siblings
}

// zonePeers returns, for each owned pool, the hosts that coordinate the pools of other targets
// in its zone.
func (l *Loop) zonePeers(p *policy.Policy, owned []message.Pool) map[message.Pool][]string {
	peers := make(map[message.Pool][]string, len(owned))
	for _, other := range p.Pools() {
		host, ok := l.view.Coordinator(other)
		if !ok {
			continue
		}
		for _, pool := range owned {
			if pool.Zone == other.Zone && pool.Target != other.Target && !slices.Contains(peers[pool], host) {
				peers[pool] = append(peers[pool], host)
			}
		}
	}
	return peers
}

// ownedEngines returns the engines of the pools, each once.
func ownedEngines(p *policy.Policy, owned []message.Pool) []policy.Server {
	engines := map[string]policy.Server{}
	for _, pool := range owned {
		for _, server := range p.PoolServers(pool) {
			if server.Kind != policy.ServerKindService {
				engines[server.Name] = server
			}
		}
	}
	return slices.Collect(maps.Values(engines))
}

// updateLinks updates the hosts and the suspicion time of the transport, and the result
// of Hosts.
func (l *Loop) updateLinks(now time.Time) {
	l.nextLinkUpdate = now.Add(linkUpdateInterval)
	members := l.member.Members(now)
	l.hosts.Store(&members)
	var known []peer.Target
	for _, m := range members {
		if m.Host != l.host {
			known = append(known, peer.Target{Host: m.Host, Address: m.Address})
		}
	}
	var linked []peer.Target
	for _, link := range l.member.Links() {
		linked = append(linked, peer.Target(link))
	}
	l.transport.SetKnown(known)
	l.transport.SetLinked(linked)
	// A host that knows no other of its zone is a relay.
	l.transport.SetNeedsSeeds(l.member.IsRelay())
	l.transport.SetSuspicion(l.member.SuspectAfter())
}

// applyMemberEvents logs the membership events and applies them to the other states.
func (l *Loop) applyMemberEvents(now time.Time) {
	for _, e := range l.member.TakeEvents() {
		l.config.Logger.Info("membership", "event", e.Kind, "host", e.Host)
		switch e.Kind {
		case member.EventRestarted:
			l.coordinator.HostDown(now, e.Host)
			l.asker.HostRestarted(now, e.Host)
			l.calls.abortCalls(e.Host)
		case member.EventDead:
			l.coordinator.HostDown(now, e.Host)
			l.calls.abortCalls(e.Host)
		case member.EventSuperseded:
			l.coordinator.SetIncarnation(l.member.Incarnation())
		case member.EventResumed:
			l.resetAfterPause(now)
		}
	}
}

// resetAfterPause discards what may be stale after a pause: undispatched grants and the
// owned pools. The membership state has dropped its peers already, and with them the
// coordinators.
func (l *Loop) resetAfterPause(now time.Time) {
	l.syncLeases(now)
	for _, id := range l.asker.Undispatched() {
		l.releaseUndispatched(id, leaseExpired, message.ReleaseOutcomeUnused)
	}
	l.ownedPools = nil
	l.coordinator.SetOwned(now, nil)
	l.applyView(now)
	l.asker.ReaskAll(now)
}
