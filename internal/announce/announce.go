// Package announce keeps what backend servers have announced about themselves: that they
// are leaving, how many requests they take and until when they are cold, which all entry
// hosts share, or that they want no requests from this host for a time, which concerns this
// host alone.
//
// Announcements belong to one incarnation of a server. A server that starts again, under
// its old name or address, is not bound by those of the process before.
package announce

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

const (
	// shareTTL is how long an announcement is sent to other hosts, and how long it is
	// kept for a server that this host doesn't know.
	shareTTL = 2 * time.Minute
	// leaveTTL is how long an announcement holds. Servers are gone long before that,
	// unless their stop was called off.
	leaveTTL = 10 * time.Minute
	// unknownIncarnationTTL replaces leaveTTL for servers whose incarnation isn't known:
	// such a server may have started again.
	unknownIncarnationTTL = 15 * time.Second
)

// Table holds the announcements. It is safe for concurrent use: traffic goroutines read
// it before each dispatch.
type Table struct {
	mu      sync.RWMutex
	leaving map[string]leave
	pauses  map[string]pause
	// requestLimits are the requests that servers take, by name.
	requestLimits map[string]requestLimit
	// cold is what servers say about how long they stay cold, by name.
	cold map[string]coldState
	// incarnations are those of the servers in the policy, by name.
	incarnations map[string]int
}

// leave is the announcement that a server is leaving.
type leave struct {
	incarnation int
	announcedAt time.Time
}

// pause is the announcement that a server wants no requests from this host.
type pause struct {
	incarnation int
	until       time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{leaving: map[string]leave{}, pauses: map[string]pause{}, requestLimits: map[string]requestLimit{}, cold: map[string]coldState{}, incarnations: map[string]int{}}
}

// MarkLeaving records that a server has announced to this host that it is leaving, and
// reports whether that is news.
func (t *Table) MarkLeaving(now time.Time, server policy.Server) bool {
	return len(t.Merge(now, []message.LeavingServer{Entry(server)})) > 0
}

// Entry returns the message that a server is leaving now.
func Entry(s policy.Server) message.LeavingServer {
	return message.LeavingServer{Server: s.Name, Incarnation: s.Incarnation}
}

// Merge records announcements that another host has shared and returns those that are
// news. An entry about an incarnation that is known to leave, or that an announcement
// of a later one supersedes, changes nothing.
func (t *Table) Merge(now time.Time, entries []message.LeavingServer) []message.LeavingServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []message.LeavingServer
	for _, entry := range entries {
		added := leave{incarnation: entry.Incarnation, announcedAt: now.Add(-settings.Milliseconds(entry.AgeMs))}
		old, known := t.leaving[entry.Server]
		if known && old.holds(now) && old.incarnation >= added.incarnation || !added.shared(now) {
			continue
		}
		t.leaving[entry.Server] = added
		news = append(news, entry)
	}
	return news
}

// holds reports whether the announcement still says that its incarnation is leaving.
func (l leave) holds(now time.Time) bool {
	ttl := leaveTTL
	if l.incarnation == 0 {
		ttl = unknownIncarnationTTL
	}
	return now.Sub(l.announcedAt) < ttl
}

// shared reports whether the announcement is recent enough to be sent to other hosts.
func (l leave) shared(now time.Time) bool { return l.holds(now) && now.Sub(l.announcedAt) < shareTTL }

// Shared returns the announcements to send to a host that may lack them, ordered by
// server.
func (t *Table) Shared(now time.Time) []message.LeavingServer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var entries []message.LeavingServer
	for server, l := range t.leaving {
		if l.shared(now) {
			entries = append(entries, message.LeavingServer{
				Server: server, Incarnation: l.incarnation, AgeMs: int(now.Sub(l.announcedAt).Milliseconds()),
			})
		}
	}
	slices.SortFunc(entries, func(a, b message.LeavingServer) int { return strings.Compare(a.Server, b.Server) })
	return entries
}

// isLeaving reports whether a server has announced that it is leaving. The caller holds
// mu.
func (t *Table) isLeaving(now time.Time, server policy.Server) bool {
	l, ok := t.leaving[server.Name]
	return ok && l.holds(now) && l.incarnation >= server.Incarnation
}

// Leaving returns the names of those servers that have announced that they are leaving.
func (t *Table) Leaving(now time.Time, servers map[string]policy.Server) map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := map[string]bool{}
	for name := range t.leaving {
		if server, ok := servers[name]; ok && t.isLeaving(now, server) {
			names[name] = true
		}
	}
	return names
}

// Pause records that a server wants no requests from this host until a time.
func (t *Table) Pause(server policy.Server, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.pauses[server.Name]; ok && old.incarnation == server.Incarnation && old.until.After(until) {
		return
	}
	t.pauses[server.Name] = pause{incarnation: server.Incarnation, until: until}
}

func (p pause) holds(now time.Time, incarnation int) bool {
	return now.Before(p.until) && p.incarnation >= incarnation
}

// Accepts reports whether this host may send a request to a server: it has neither
// announced that it is leaving nor that it wants no requests now.
func (t *Table) Accepts(now time.Time, server policy.Server) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, paused := t.pauses[server.Name]
	return !t.isLeaving(now, server) && !(paused && p.holds(now, server.Incarnation))
}

// Paused returns the names of the servers that want no requests from this host now,
// ordered.
func (t *Table) Paused(now time.Time) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var names []string
	for name, p := range t.pauses {
		if p.holds(now, t.incarnations[name]) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SetServers sets the servers of the policy in force and drops what no longer matters:
// pauses that have ended, and announcements of servers that are gone or have started
// again. Those of unknown servers are kept as long as other hosts may share them, since
// this host may learn of the server later.
func (t *Table) SetServers(now time.Time, servers map[string]policy.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.incarnations)
	for name, server := range servers {
		t.incarnations[name] = server.Incarnation
	}
	for name, l := range t.leaving {
		server, registered := servers[name]
		if !l.shared(now) && !(registered && t.isLeaving(now, server)) {
			delete(t.leaving, name)
		}
	}
	for name, p := range t.pauses {
		if !p.holds(now, t.incarnations[name]) {
			delete(t.pauses, name)
		}
	}
	maps.DeleteFunc(t.requestLimits, func(_ string, r requestLimit) bool { return !r.holds(now) })
	maps.DeleteFunc(t.cold, func(_ string, c coldState) bool { return !c.holds(now) })
}
