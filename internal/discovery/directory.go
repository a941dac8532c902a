// Package discovery follows what a platform publishes: the policy, and the backend
// servers as they come and go.
package discovery

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mimosafront/internal/policy"
)

// recoveryGrace is how long after the return of a store an entry that lapsed
// meanwhile is believed: live servers are registered again within two seconds.
const recoveryGrace = 2 * time.Second

// Entry is the registration of a backend server.
type Entry struct {
	Server policy.Server
	// Leaving servers take no new work.
	Leaving bool
}

// Change is one change of what is published.
type Change struct {
	// Policy is the text of a new policy file; nil if the change is another.
	Policy []byte
	// Server names the backend server that the change is about.
	Server string
	// Entry is its registration, or nil if that has ended.
	Entry *Entry
}

// Directory holds the backend servers that are registered. It is pure state.
//
// Invariant: a registration that ended while the store was away, or that is missing
// when it returns, counts for another grace.
type Directory struct {
	entries map[string]Entry
	// pendingExpiry holds the servers whose registration ended, and until when they count.
	pendingExpiry map[string]time.Time
	unavailable   bool
	graceEnd      time.Time
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]Entry{}, pendingExpiry: map[string]time.Time{}}
}

// MarkUnavailable notes that the store doesn't answer.
func (d *Directory) MarkUnavailable() { d.unavailable = true }

// MarkAvailable notes that the store answers.
func (d *Directory) MarkAvailable(now time.Time) {
	if !d.unavailable {
		return
	}
	d.unavailable = false
	d.graceEnd = now.Add(recoveryGrace)
	for name := range d.pendingExpiry {
		d.pendingExpiry[name] = d.graceEnd
	}
}

// Apply takes the change of one registration.
func (d *Directory) Apply(now time.Time, c Change) {
	switch {
	case c.Entry != nil:
		d.entries[c.Server] = *c.Entry
		delete(d.pendingExpiry, c.Server)
	case d.unavailable || now.Before(d.graceEnd):
		d.deferExpiry(c.Server)
	default:
		delete(d.entries, c.Server)
	}
}

// deferExpiry keeps a server until the grace ends.
func (d *Directory) deferExpiry(name string) {
	if _, known := d.entries[name]; known {
		d.pendingExpiry[name] = d.graceEnd
	}
}

// Replace takes all registrations. Those that are missing after an outage are
// doubtful, others have ended.
func (d *Directory) Replace(now time.Time, entries map[string]Entry) {
	for name := range d.entries {
		if _, listed := entries[name]; !listed {
			d.Apply(now, Change{Server: name})
		}
	}
	for name, entry := range entries {
		d.Apply(now, Change{Server: name, Entry: &entry})
	}
}

// Expire ends the registrations whose grace has passed and reports whether there were
// any.
func (d *Directory) Expire(now time.Time) bool {
	expired := false
	for name, until := range d.pendingExpiry {
		if !d.unavailable && !now.Before(until) {
			delete(d.pendingExpiry, name)
			delete(d.entries, name)
			expired = true
		}
	}
	return expired
}

// PendingExpiry returns the number of servers whose registration ended and that still
// count.
func (d *Directory) PendingExpiry() int { return len(d.pendingExpiry) }

// Servers returns those that take new work, ordered by name.
func (d *Directory) Servers() []policy.Server {
	servers := make([]policy.Server, 0, len(d.entries))
	for _, entry := range d.entries {
		if !entry.Leaving {
			servers = append(servers, entry.Server)
		}
	}
	slices.SortFunc(servers, func(a, b policy.Server) int { return strings.Compare(a.Name, b.Name) })
	return servers
}

// Entries returns all registrations by name.
func (d *Directory) Entries() map[string]Entry { return maps.Clone(d.entries) }
