package announce

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

const (
	// MaxColdTime bounds how long a server is believed to stay cold. Engines load their
	// weights and warm up within it.
	MaxColdTime = 10 * time.Minute
	// coldTolerance is by how much two statements about the same end of a cold time
	// differ: hosts read a registration up to a heartbeat and two reads after it was written.
	coldTolerance = 2 * time.Second
)

// coldState is the last statement of a server about how long it stays cold.
type coldState struct {
	incarnation int
	// until is the end of the cold time, statedAt when the server said so.
	until, statedAt time.Time
}

// holds reports whether the statement still matters: that a server is cold, or, for as long
// as older statements may arrive, that it is warm.
func (c coldState) holds(now time.Time) bool {
	return now.Before(c.until) || now.Sub(c.statedAt) < limitTTL
}

// replaces reports whether a statement counts in place of the known one: that of a later
// process, or the newer one, or of those made at the same moment the stricter one.
// Statements about the same end repeat each other.
func (c coldState) replaces(known coldState) bool {
	switch {
	case c.incarnation != known.incarnation:
		return c.incarnation > known.incarnation
	case c.until.Sub(known.until).Abs() <= coldTolerance:
		return false
	case c.statedAt.Sub(known.statedAt).Abs() < sameMoment:
		return c.until.After(known.until)
	}
	return c.statedAt.After(known.statedAt)
}

// ColdEntry returns the message that a server stays cold until a time, or, with a time that
// isn't after now, that it is warm.
func ColdEntry(now time.Time, s policy.Server, until time.Time) message.ColdServer {
	return message.ColdServer{Server: s.Name, Incarnation: s.Incarnation, RemainingMs: int(max(until.Sub(now), 0).Milliseconds())}
}

// MergeCold records which servers are cold, as stated to this host or shared by another
// one, and returns the entries that are news. Entries whose times can't be right are
// ignored.
func (t *Table) MergeCold(now time.Time, entries []message.ColdServer) []message.ColdServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []message.ColdServer
	for _, entry := range entries {
		if entry.RemainingMs < 0 || settings.Milliseconds(entry.RemainingMs) > MaxColdTime {
			continue
		}
		added := coldState{incarnation: entry.Incarnation, statedAt: now.Add(-settings.Milliseconds(max(entry.AgeMs, 0)))}
		added.until = added.statedAt.Add(settings.Milliseconds(entry.RemainingMs))
		known, ok := t.cold[entry.Server]
		ok = ok && known.holds(now)
		if !added.holds(now) || ok && !added.replaces(known) || !ok && entry.RemainingMs == 0 {
			continue
		}
		t.cold[entry.Server] = added
		news = append(news, entry)
	}
	return news
}

// SharedCold returns the statements to send to a host that may lack them, ordered by
// server.
func (t *Table) SharedCold(now time.Time) []message.ColdServer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var entries []message.ColdServer
	for _, server := range slices.Sorted(maps.Keys(t.cold)) {
		if c := t.cold[server]; c.holds(now) {
			entries = append(entries, message.ColdServer{
				Server: server, Incarnation: c.incarnation,
				RemainingMs: int(max(c.until.Sub(c.statedAt), 0).Milliseconds()), AgeMs: int(now.Sub(c.statedAt).Milliseconds()),
			})
		}
	}
	return entries
}

// Cold returns until when servers are cold, for those that are. A server whose later
// process hasn't said anything yet isn't bound by the one before.
func (t *Table) Cold(now time.Time, servers map[string]policy.Server) map[string]time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	until := map[string]time.Time{}
	for name, c := range t.cold {
		if server, ok := servers[name]; ok && now.Before(c.until) && c.incarnation >= server.Incarnation {
			until[name] = c.until
		}
	}
	return until
}
