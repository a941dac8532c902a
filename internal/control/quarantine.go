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
	// maxKnownQuarantines bounds the fingerprints whose updates are recognised when they
	// arrive again. Beyond that many within quarantineGossipTTL, further ones are ignored:
	// an update that is forgotten while hosts still relay it would circulate for good.
	maxKnownQuarantines = 1 << 14
	// quarantineGossipTTL is how long after the last crash a fingerprint is sent.
	quarantineGossipTTL = 10 * time.Minute
)

// quarantineCache holds the newest update on each fingerprint, to be sent again to
// hosts that may have missed it while a link was down, and recognises updates that arrive
// again.
type quarantineCache struct {
	byFingerprint *lru.Cache[uint64, cachedQuarantine]
	known         *lru.Cache[uint64, knownQuarantine]
}

// knownQuarantine says which update on one fingerprint this host has, so that it relays
// each only once.
type knownQuarantine struct {
	servers   int
	lastCrash time.Time
}

// cachedQuarantine is the newest update on one fingerprint.
type cachedQuarantine struct {
	entry message.Quarantine
	// lastCrash is when the last of the servers crashed.
	lastCrash time.Time
}

func newQuarantineCache() quarantineCache {
	cache, _ := lru.New[uint64, cachedQuarantine](quarantineCacheSize)
	known, _ := lru.New[uint64, knownQuarantine](maxKnownQuarantines)
	return quarantineCache{byFingerprint: cache, known: known}
}

// merge stores the entries that have more servers or a later crash than the known ones,
// and returns them.
func (q quarantineCache) merge(now time.Time, entries []message.Quarantine) []message.Quarantine {
	var changed []message.Quarantine
	for _, entry := range entries {
		crashed := now.Add(-settings.Milliseconds(entry.AgeMs))
		old, known := q.known.Peek(entry.Fingerprint)
		crashedAgain := known && crashed.After(old.lastCrash.Add(quarantine.CrashReportWindow))
		if known && !crashedAgain && len(entry.Servers) <= old.servers || !known && q.full(now) {
			continue
		}
		q.known.Add(entry.Fingerprint, knownQuarantine{servers: len(entry.Servers), lastCrash: crashed})
		q.byFingerprint.Add(entry.Fingerprint, cachedQuarantine{entry: entry, lastCrash: crashed})
		changed = append(changed, entry)
	}
	return changed
}

// full reports whether all fingerprints that can be known are recent.
func (q quarantineCache) full(now time.Time) bool {
	_, oldest, _ := q.known.GetOldest()
	return q.known.Len() >= maxKnownQuarantines && now.Sub(oldest.lastCrash) < quarantineGossipTTL
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

// sendSharedOnLinkUp sends the current quarantines, leaving servers, limits and evacuations
// to a host whose link opened if one of the two hosts coordinates a pool. If all hosts sent
// them to each other, many links opening at once would fill the inboxes.
func (l *Loop) sendSharedOnLinkUp(now time.Time, host string) {
	if l.coordinates(l.host) || l.coordinates(host) {
		l.sendQuarantines(now, host)
		l.sendLeavingServers(now, host)
		l.sendServerLimits(now, host)
		l.sendEvacuations(now, host)
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
