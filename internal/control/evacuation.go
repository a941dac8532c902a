package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/evacuation"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// sourceStore names the platform's store as the source of what is logged.
const sourceStore = "store"

// evacuationsRead reports changes of the evacuated zones that were read from the store.
type evacuationsRead struct{ changed []message.Evacuation }

func (e evacuationsRead) apply(l *Loop, now time.Time) {
	for _, entry := range e.changed {
		l.evacuationsToShare[entry.Zone] = pendingShare[message.Evacuation]{entry: entry, dueAt: now.Add(l.shareDelay())}
	}
	l.applyEvacuations(now, sourceStore)
}

// EvacuationsRead records which zones are evacuated as of a state of the platform's store.
// It is in force for dispatches when EvacuationsRead returns. The hosts that the store
// doesn't reach are told in the same manner as of leaving servers.
func (l *Loop) EvacuationsRead(zones []string, at evacuation.Order) {
	if changed := l.config.Evacuations.Read(zones, at); len(changed) > 0 {
		_ = l.postUntilStopped(evacuationsRead{changed: changed})
	}
}

// handleEvacuations merges what another host shares and relays what is new.
func (l *Loop) handleEvacuations(now time.Time, from string, entries []message.Evacuation) {
	// A relay still has to tell the other zones.
	if l.member.Zone(from) == l.config.Settings.Node.Zone && !l.member.IsRelay() {
		l.dropSharedEvacuations(entries)
	}
	news := l.config.Evacuations.Merge(entries)
	if len(news) == 0 {
		return
	}
	l.relayFrame(from, evacuationsFrame(news))
	l.applyEvacuations(now, from)
}

// dropSharedEvacuations drops what another host of the zone has shared meanwhile, with the
// same state as of an earlier revision or with a later one.
func (l *Loop) dropSharedEvacuations(entries []message.Evacuation) {
	for _, e := range entries {
		pending, ok := l.evacuationsToShare[e.Zone]
		if ok && (pending.entry.Evacuated == e.Evacuated || evacuation.OrderOf(e).Compare(evacuation.OrderOf(pending.entry)) > 0) {
			delete(l.evacuationsToShare, e.Zone)
		}
	}
}

// applyEvacuations passes the evacuated zones to the pools that this host coordinates and
// to the requests that wait, if they have changed.
func (l *Loop) applyEvacuations(now time.Time, source string) {
	zones := l.config.Evacuations.Zones()
	if maps.Equal(zones, l.appliedEvacuated) {
		return
	}
	l.logEvacuations(zones, source)
	l.appliedEvacuated = zones
	l.evacuatedZones.Update(float64(len(zones)))
	l.coordinator.SetEvacuated(now, zones)
	if p := l.config.Policies.Current(); p != nil && l.view != nil {
		l.setTopology(now, p)
	}
}

// logEvacuations logs how the evacuated zones differ from those in force.
func (l *Loop) logEvacuations(zones map[string]bool, source string) {
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if !l.appliedEvacuated[zone] {
			l.config.Logger.Info("zone evacuated", "zone", zone, "revision", l.config.Evacuations.Entry(zone).Revision, "source", source)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(l.appliedEvacuated)) {
		if !zones[zone] {
			l.config.Logger.Info("zone taken back", "zone", zone, "revision", l.config.Evacuations.Entry(zone).Revision, "source", source)
		}
	}
}

// setTopology passes the pools and their coordinators to the requests that wait.
func (l *Loop) setTopology(now time.Time, p *policy.Policy) {
	l.asker.SetTopology(now, &topology{policy: p, view: l.view, evacuated: l.appliedEvacuated, spread: seed(l.host, 0)})
}

// sendEvacuations sends a host what is known of evacuated zones.
func (l *Loop) sendEvacuations(now time.Time, host string) {
	if entries := l.config.Evacuations.Entries(); len(entries) > 0 {
		l.send(now, host, evacuationsFrame(entries))
	}
}

func evacuationsFrame(entries []message.Evacuation) *message.Frame {
	return &message.Frame{Evacuations: &message.Evacuations{Entries: entries}}
}
