package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mimosafront/internal/announce"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// Hosts of a zone read in the platform's store at about the same time that a server is
// leaving. So that they don't all tell each other, a relay tells the others at once,
// and any other host only if it has heard of it from none after a random delay of
// minShareDelay to maxShareDelay. Hosts that the store doesn't reach hear of it well
// within the two seconds in which servers still take requests.
const (
	minShareDelay = 200 * time.Millisecond
	maxShareDelay = 600 * time.Millisecond
)

// serverLeaving reports that a server has announced to this host that it is leaving.
type serverLeaving struct{ entry message.LeavingServer }

func (e serverLeaving) apply(l *Loop, now time.Time) {
	l.gossip(leavingFrame([]message.LeavingServer{e.entry}), true)
	l.applyLeaving(now)
}

// ServerLeaving shares with the other hosts that a server has announced to this host
// that it is leaving. It is in the table of announcements already.
func (l *Loop) ServerLeaving(server policy.Server) {
	_ = l.postUntilStopped(serverLeaving{entry: announce.Entry(server)})
}

// registeredLeaving reports that the platform lists servers as leaving.
type registeredLeaving struct{ entries []message.LeavingServer }

func (e registeredLeaving) apply(l *Loop, now time.Time) {
	for _, entry := range l.config.Announcements.Merge(now, e.entries) {
		l.leavingToShare[entry.Server] = pendingShare[message.LeavingServer]{entry: entry, dueAt: now.Add(l.shareDelay())}
	}
	l.applyLeaving(now)
}

// RegisteredLeaving records servers that the platform lists as leaving, and shares them
// with the hosts that the platform doesn't reach.
func (l *Loop) RegisteredLeaving(servers []policy.Server) {
	entries := make([]message.LeavingServer, len(servers))
	for i, server := range servers {
		entries[i] = announce.Entry(server)
	}
	_ = l.postUntilStopped(registeredLeaving{entries: entries})
}

// shareDelay returns after what time this host shares what it has read in the store.
func (l *Loop) shareDelay() time.Duration {
	if l.member.IsRelay() {
		return 0
	}
	return minShareDelay + rand.N(maxShareDelay-minShareDelay)
}

// pendingShare is what the store says about a server or a zone, to be shared at a time.
type pendingShare[T any] struct {
	entry T
	dueAt time.Time
}

// takeDue removes the entries that are due and returns them, ordered by server or zone.
func takeDue[T any](pending map[string]pendingShare[T], now time.Time) []T {
	var due []T
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		if p := pending[name]; !now.Before(p.dueAt) {
			due = append(due, p.entry)
			delete(pending, name)
		}
	}
	return due
}

// sharePending shares what is due.
func (l *Loop) sharePending(now time.Time) {
	if due := takeDue(l.leavingToShare, now); len(due) > 0 {
		l.gossip(leavingFrame(due), true)
	}
	if due := takeDue(l.coldToShare, now); len(due) > 0 {
		l.gossip(coldFrame(now, due), true)
	}
	if due := takeDue(l.evacuationsToShare, now); len(due) > 0 {
		l.gossip(evacuationsFrame(due), true)
	}
}

// handleLeavingServers merges what another host shares and relays what is new.
func (l *Loop) handleLeavingServers(now time.Time, from string, entries []message.LeavingServer) {
	// A relay still has to tell the other zones.
	if l.member.Zone(from) == l.config.Settings.Node.Zone && !l.member.IsRelay() {
		for _, entry := range entries {
			delete(l.leavingToShare, entry.Server)
		}
	}
	news := l.config.Announcements.Merge(now, entries)
	if len(news) == 0 {
		return
	}
	for _, entry := range news {
		l.config.Logger.Info("server is leaving", "server", entry.Server, "incarnation", entry.Incarnation, "source", from)
	}
	l.relayFrame(from, leavingFrame(news))
	l.applyLeaving(now)
}

// applyLeaving passes the leaving servers to the pools that this host coordinates, if they
// have changed. It is also called at intervals, since announcements expire.
func (l *Loop) applyLeaving(now time.Time) {
	p := l.config.Policies.Current()
	if p == nil || l.view == nil {
		return
	}
	leaving := l.config.Announcements.Leaving(now, p.Servers)
	maps.Copy(leaving, l.view.LeavingServers)
	if maps.Equal(leaving, l.appliedLeaving) {
		return
	}
	l.appliedLeaving = leaving
	l.coordinator.SetLeaving(now, leaving)
}

// sendLeavingServers sends a host the servers that are leaving.
func (l *Loop) sendLeavingServers(now time.Time, host string) {
	if entries := l.config.Announcements.Shared(now); len(entries) > 0 {
		l.send(now, host, leavingFrame(entries))
	}
}

func leavingFrame(entries []message.LeavingServer) *message.Frame {
	return &message.Frame{LeavingServers: &message.LeavingServers{Entries: entries}}
}
