// Package discovery follows a platform's store, which publishes the policy file and the
// registrations of backend servers. It lists the store once and then watches for
// changes after a revision; registrations that end during an outage of the store are
// kept for a grace period.
package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mimosafront/internal/policy"
)

const (
	// recoveryGrace is how long registrations that ended during an outage are kept after
	// the store is available again. Live servers register again within two seconds.
	recoveryGrace = 2 * time.Second
	// lapseHeartbeats is the least length of an outage, in heartbeats, by which a
	// registration can lapse: it ends after three missed heartbeats, and up to one had
	// passed since the last.
	lapseHeartbeats = 2
	// endedMemory is how long a registration that ended is remembered, in case the store
	// returns from a copy in which it hasn't. Copies are seconds old, and the outage before
	// the return may last for minutes.
	endedMemory = 10 * time.Minute
)

// Entry is the registration of a backend server.
type Entry struct {
	Server policy.Server
	// Leaving is set for a server that takes no new work.
	Leaving bool
	// Cold is how much longer the server stays cold; ColdUnknown if it doesn't say.
	Cold time.Duration
}

// Change is a new policy file, a change of one registration, or an availability zone that
// is evacuated or taken back.
type Change struct {
	// Policy is the text of the new policy file; nil for any other change.
	Policy []byte
	// Server is the name of the backend server whose registration changed; empty for any
	// other change.
	Server string
	// Entry is the server's registration, or nil if it has ended.
	Entry *Entry
	// Zone is the zone that is evacuated, or taken back if Evacuated is false; empty for
	// any other change.
	Zone      string
	Evacuated bool
	// Revision of the store that the change made.
	Revision int64
}

// Directory holds the registrations of backend servers. It does no input or output
// and takes the time as an argument.
//
// Invariant: a registration that ends within recoveryGrace after an outage by which it
// can have lapsed, or is missing when the store is available again, is kept until
// recoveryGrace ends. After a shorter one, such as a connection that breaks, a server
// whose registration ended has left.
//
// When the store returns from an earlier copy, servers have yet to write again what the
// copy lacks: registrations that are missing in it are kept until recoveryGrace ends. What
// this host knows of a server goes before what the copy says of the same or an earlier
// incarnation, until the server writes again: a registration that ended stays ended, and a
// server that was leaving stays leaving.
type Directory struct {
	entries map[string]Entry
	// lapseTime is the least length of an outage by which registrations lapse.
	lapseTime time.Duration
	// lastContact is when the store last answered.
	lastContact time.Time
	// pendingExpiry maps servers whose registration ended to the time until which they
	// are kept. During an outage that time is replaced when the store is available
	// again.
	pendingExpiry map[string]time.Time
	// heartbeat is the interval between renewals of a registration.
	heartbeat time.Duration
	// coldUntil is the end of the cold times of servers, by name, as last passed to
	// coldNews.
	coldUntil   map[string]time.Time
	coldNews    []ColdServer
	unavailable bool
	// graceEnd is the end of recoveryGrace after the last outage or return from a copy.
	graceEnd time.Time
	// ended holds the registrations that ended within endedMemory, by server name.
	ended map[string]ending
	// returned is set once the store has returned from a copy. What was written up to
	// copyRevision may then be the copy's.
	returned     bool
	copyRevision int64
}

// ending is the end of a registration.
type ending struct {
	incarnation int
	at          time.Time
}

// NewDirectory returns an empty Directory of servers that renew their registrations at
// the given interval.
func NewDirectory(heartbeat time.Duration) *Directory {
	return &Directory{
		entries: map[string]Entry{}, pendingExpiry: map[string]time.Time{}, coldUntil: map[string]time.Time{},
		ended: map[string]ending{}, heartbeat: heartbeat, lapseTime: lapseHeartbeats * heartbeat,
	}
}

// MarkUnavailable records that the store doesn't answer. Registrations then no longer
// expire.
func (d *Directory) MarkUnavailable() { d.unavailable = true }

// MarkAvailable records that the store answers. After an outage by which registrations
// can have lapsed it starts recoveryGrace, also for those that are pending expiry.
func (d *Directory) MarkAvailable(now time.Time) {
	outage := now.Sub(d.lastContact)
	d.lastContact = now
	if !d.unavailable {
		return
	}
	d.unavailable = false
	if outage >= d.lapseTime {
		d.startGrace(now)
	}
}

// startGrace starts recoveryGrace, also for registrations that are pending expiry.
func (d *Directory) startGrace(now time.Time) {
	d.graceEnd = now.Add(recoveryGrace)
	for name := range d.pendingExpiry {
		d.pendingExpiry[name] = d.graceEnd
	}
}

// MarkReturned records that the store has returned from an earlier copy and was listed
// at a revision. It starts recoveryGrace.
func (d *Directory) MarkReturned(now time.Time, revision int64) {
	d.returned, d.copyRevision = true, revision
	d.startGrace(now)
}

// RecordContact records that the store answered another host.
func (d *Directory) RecordContact(at time.Time) {
	if at.After(d.lastContact) {
		d.lastContact = at
	}
}

// Apply applies the change of one registration. It reports false for a renewal and for
// the end of a registration that isn't known. A server that turns cold or warm is no
// renewal, but stays the same server. The return of a registration that is pending
// expiry is no renewal: other hosts would let it expire.
func (d *Directory) Apply(now time.Time, c Change) bool {
	old, known := d.entries[c.Server]
	switch {
	case c.Entry != nil:
		_, pending := d.pendingExpiry[c.Server]
		registered := *c.Entry
		registered.Cold = 0
		d.entries[c.Server] = registered
		delete(d.pendingExpiry, c.Server)
		delete(d.ended, c.Server)
		if old.Server.Incarnation != registered.Server.Incarnation {
			delete(d.coldUntil, c.Server)
		}
		d.recordCold(now, registered.Server, c.Entry.Cold)
		return pending || !known || old != registered
	case d.unavailable || now.Before(d.graceEnd):
		d.deferExpiry(c.Server)
	default:
		d.remove(now, c.Server)
	}
	return known
}

// remove removes a server and remembers, if it was known, that its registration ended.
func (d *Directory) remove(now time.Time, name string) {
	maps.DeleteFunc(d.ended, func(_ string, e ending) bool { return now.Sub(e.at) >= endedMemory })
	if entry, known := d.entries[name]; known {
		d.ended[name] = ending{incarnation: entry.Server.Incarnation, at: now}
	}
	delete(d.entries, name)
	delete(d.coldUntil, name)
}

// deferExpiry keeps a known server whose registration ended until graceEnd.
func (d *Directory) deferExpiry(name string) {
	if _, known := d.entries[name]; known {
		d.pendingExpiry[name] = d.graceEnd
	}
}

// Replace applies a complete list of registrations, with the revisions of their last
// writes. A known server that is missing from it is removed, or kept until recoveryGrace
// ends. It returns the names of the servers of which a copy says what is outdated.
func (d *Directory) Replace(now time.Time, entries map[string]Entry, revisions map[string]int64) (outdated []string) {
	current := make(map[string]Entry, len(entries))
	for name, entry := range entries {
		if d.returned && revisions[name] <= d.copyRevision {
			if d.isOutdated(name, entry) {
				outdated = append(outdated, name)
				continue
			}
			if d.isLeaving(name, entry) && !entry.Leaving {
				outdated = append(outdated, name)
				entry.Leaving = true
			}
			if entry.Cold == 0 {
				entry.Cold = ColdUnknown // it may have turned cold since the copy
			}
		}
		current[name] = entry
	}
	for name := range d.entries {
		if _, listed := current[name]; !listed {
			d.Apply(now, Change{Server: name})
		}
	}
	for name, entry := range current {
		d.Apply(now, Change{Server: name, Entry: &entry})
	}
	slices.Sort(outdated)
	return outdated
}

// isOutdated reports whether a registration of a copy is of an incarnation that ended, or
// may have, or that another one has followed.
func (d *Directory) isOutdated(name string, entry Entry) bool {
	if end, ended := d.ended[name]; ended {
		return entry.Server.Incarnation <= end.incarnation
	}
	known, ok := d.entries[name]
	_, pending := d.pendingExpiry[name]
	return ok && (entry.Server.Incarnation < known.Server.Incarnation || pending && entry.Server.Incarnation == known.Server.Incarnation)
}

// isLeaving reports whether a server is known to leave in the incarnation of an entry.
func (d *Directory) isLeaving(name string, entry Entry) bool {
	known, ok := d.entries[name]
	return ok && known.Leaving && known.Server.Incarnation == entry.Server.Incarnation
}

// Expire removes the servers whose grace period has passed and reports whether there
// were any. It removes none while the store is unavailable.
func (d *Directory) Expire(now time.Time) bool {
	expired := false
	for name, until := range d.pendingExpiry {
		if !d.unavailable && !now.Before(until) {
			delete(d.pendingExpiry, name)
			d.remove(now, name)
			expired = true
		}
	}
	return expired
}

// NextExpiry returns when Expire next removes a server; ok is false if it won't.
func (d *Directory) NextExpiry() (next time.Time, ok bool) {
	if d.unavailable {
		return time.Time{}, false
	}
	for _, until := range d.pendingExpiry {
		if !ok || until.Before(next) {
			next, ok = until, true
		}
	}
	return next, ok
}

// Servers returns the servers that take new work, ordered by name.
func (d *Directory) Servers() []policy.Server { return d.serversBy(false) }

// HasLeaving reports whether a server is registered as leaving.
func (d *Directory) HasLeaving() bool {
	for _, entry := range d.entries {
		if entry.Leaving {
			return true
		}
	}
	return false
}

// Leaving returns the servers that are registered as leaving, ordered by name.
func (d *Directory) Leaving() []policy.Server { return d.serversBy(true) }

func (d *Directory) serversBy(leaving bool) []policy.Server {
	servers := make([]policy.Server, 0, len(d.entries))
	for _, entry := range d.entries {
		if entry.Leaving == leaving {
			servers = append(servers, entry.Server)
		}
	}
	slices.SortFunc(servers, func(a, b policy.Server) int { return strings.Compare(a.Name, b.Name) })
	return servers
}

// Entries returns a copy of all registrations, by server name.
func (d *Directory) Entries() map[string]Entry { return maps.Clone(d.entries) }
