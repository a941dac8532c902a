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
	// limitTTL is how long a limit holds after a server last stated it. A server that is
	// limited gets requests all the time and states it again, so that only a lost message
	// about its end is repaired by this.
	limitTTL = 20 * time.Second
	// limitRefresh is the time after which a limit that is stated again is news.
	limitRefresh = 5 * time.Second
	// minLimitTime is how long a limit holds at least. Answers that were begun before may
	// arrive without it.
	minLimitTime = time.Second
	// sameMoment is within what time of each other the order of two statements can't be
	// told from that of their messages, which take several hops.
	sameMoment = 250 * time.Millisecond
)

// requestLimit is how many requests a server takes.
type requestLimit struct {
	incarnation int
	perS        float64
	// statedAt is when the server last said so, sharedAt when that last was news.
	statedAt, sharedAt time.Time
}

func (r requestLimit) holds(now time.Time) bool { return now.Sub(r.statedAt) < limitTTL }

// limits reports whether the limit holds for a process of the server.
func (r requestLimit) limits(now time.Time, server policy.Server) bool {
	return r.perS > 0 && r.holds(now) && r.incarnation >= server.Incarnation
}

// replaces reports whether a statement counts in place of the known one: that of a later
// process, or the newer one, or of different ones made at the same moment the stricter
// one. If the one that arrives last counted, hosts would send each other both for good.
func (r requestLimit) replaces(known requestLimit) bool {
	switch {
	case r.incarnation != known.incarnation:
		return r.incarnation > known.incarnation
	case r.perS != known.perS && r.statedAt.Sub(known.statedAt).Abs() < sameMoment:
		return known.perS == 0 || r.perS > 0 && r.perS < known.perS
	}
	return r.statedAt.After(known.statedAt)
}

// StateLimit records the limit that an answer of a server stated to this host, in requests
// per second, or 0 if it stated none. It reports whether other hosts should hear of it.
func (t *Table) StateLimit(now time.Time, server policy.Server, perS float64) bool {
	if perS == 0 && !t.limitEnds(now, server) {
		return false
	}
	return len(t.MergeLimits(now, []message.ServerLimit{LimitEntry(server, perS)})) > 0
}

// limitEnds reports whether a limit holds for so long that an answer without one ends it.
func (t *Table) limitEnds(now time.Time, server policy.Server) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.requestLimits[server.Name]
	return ok && r.limits(now, server) && now.Sub(r.statedAt) >= minLimitTime
}

// LimitEntry returns the message that a server states a limit now.
func LimitEntry(s policy.Server, perS float64) message.ServerLimit {
	return message.ServerLimit{Server: s.Name, Incarnation: s.Incarnation, RequestsPerS: perS}
}

// MergeLimits records limits that another host has shared and returns those that are
// news.
func (t *Table) MergeLimits(now time.Time, entries []message.ServerLimit) []message.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []message.ServerLimit
	for _, entry := range entries {
		added := requestLimit{
			incarnation: entry.Incarnation, perS: entry.RequestsPerS, statedAt: now.Add(-settings.Milliseconds(max(entry.AgeMs, 0))),
		}
		old, known := t.requestLimits[entry.Server]
		switch {
		case !added.holds(now) || !(added.perS >= 0):
			continue
		case known && !added.replaces(old):
			continue
		}
		added.sharedAt = old.sharedAt
		if !known || old.incarnation != added.incarnation || old.perS != added.perS || now.Sub(old.sharedAt) >= limitRefresh {
			added.sharedAt = now
			news = append(news, entry)
		}
		t.requestLimits[entry.Server] = added
	}
	return news
}

// SharedLimits returns the limits to send to a host that may lack them, ordered by server.
func (t *Table) SharedLimits(now time.Time) []message.ServerLimit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var entries []message.ServerLimit
	for _, server := range slices.Sorted(maps.Keys(t.requestLimits)) {
		if r := t.requestLimits[server]; r.holds(now) {
			entries = append(entries, message.ServerLimit{
				Server: server, Incarnation: r.incarnation, RequestsPerS: r.perS, AgeMs: int(now.Sub(r.statedAt).Milliseconds()),
			})
		}
	}
	return entries
}

// Limits returns the limits of those servers that state one, in requests per second.
func (t *Table) Limits(now time.Time, servers map[string]policy.Server) map[string]float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	limits := map[string]float64{}
	for name, r := range t.requestLimits {
		if server, ok := servers[name]; ok && r.limits(now, server) {
			limits[name] = r.perS
		}
	}
	return limits
}
