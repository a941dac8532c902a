package control

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/settings"
)

const (
	// quarantineCacheSize bounds the fingerprints that are sent to a host whose link
	// opens.
	quarantineCacheSize = 256
	// quarantineGossipTTL is how long after the last crash a fingerprint is sent.
	quarantineGossipTTL = 10 * time.Minute
)

// quarantineCache holds the newest update on each fingerprint, to be sent again to
// hosts that may have missed it while a link was down.
type quarantineCache struct {
	byFingerprint *lru.Cache[uint64, cachedQuarantine]
}

// cachedQuarantine is the newest update on one fingerprint.
type cachedQuarantine struct {
	entry message.Quarantine
	// lastCrash is when the last of the servers crashed.
	lastCrash time.Time
}

func newQuarantineCache() quarantineCache {
	cache, _ := lru.New[uint64, cachedQuarantine](quarantineCacheSize)
	return quarantineCache{byFingerprint: cache}
}

// merge stores the entries that have more servers or a later crash than the cached
// ones, and returns them.
func (q quarantineCache) merge(now time.Time, entries []message.Quarantine) []message.Quarantine {
	var changed []message.Quarantine
	for _, entry := range entries {
		crashed := now.Add(-settings.Milliseconds(entry.AgeMs))
		cached, known := q.byFingerprint.Peek(entry.Fingerprint)
		crashedAgain := known && crashed.After(cached.lastCrash.Add(quarantine.CrashReportWindow))
		if known && !crashedAgain && len(entry.Servers) <= len(cached.entry.Servers) {
			continue
		}
		q.byFingerprint.Add(entry.Fingerprint, cachedQuarantine{entry: entry, lastCrash: crashed})
		changed = append(changed, entry)
	}
	return changed
}

// current returns the entries to send to a host that may have missed them.
func (q quarantineCache) current(now time.Time) []message.Quarantine {
	var entries []message.Quarantine
	for _, fingerprint := range q.byFingerprint.Keys() {
		cached, _ := q.byFingerprint.Peek(fingerprint)
		if age := now.Sub(cached.lastCrash); age < quarantineGossipTTL {
			entry := cached.entry
			entry.AgeMs = int(age.Milliseconds())
			entries = append(entries, entry)
		}
	}
	return entries
}

// sendQuarantines sends a host all current entries.
func (l *Loop) sendQuarantines(now time.Time, host string) {
	if entries := l.quarantines.current(now); len(entries) > 0 {
		l.send(now, host, quarantineFrame(entries))
	}
}

// sendSharedOnLinkUp sends the current quarantines, leaving servers and limits to a host whose
// link opened if one of the two hosts coordinates a pool. If all hosts sent them to each
// other, many links opening at once would fill the inboxes.
func (l *Loop) sendSharedOnLinkUp(now time.Time, host string) {
	if l.coordinates(l.host) || l.coordinates(host) {
		l.sendQuarantines(now, host)
		l.sendLeavingServers(now, host)
		l.sendServerLimits(now, host)
	}
}

// coordinates reports whether a host coordinates a pool.
func (l *Loop) coordinates(host string) bool {
	if l.appliedPolicy == nil {
		return false
	}
	for _, pool := range l.appliedPolicy.Pools() {
		if coordinator, ok := l.view.Coordinator(pool); ok && coordinator == host {
			return true
		}
	}
	return false
}

// handleQuarantines merges the entries from another host and relays those that are new.
func (l *Loop) handleQuarantines(now time.Time, from string, entries []message.Quarantine) {
	changed := l.quarantines.merge(now, entries)
	if len(changed) == 0 {
		return
	}
	f := quarantineFrame(changed)
	l.coordinator.Handle(now, from, f)
	l.relayFrame(from, f)
}

func quarantineFrame(entries []message.Quarantine) *message.Frame {
	return &message.Frame{Quarantines: &message.Quarantines{Entries: entries}}
}
