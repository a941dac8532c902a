package control

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"mimosafront/internal/message"
	"mimosafront/internal/quarantine"
	"mimosafront/internal/settings"
)

const (
	// quarantineMemorySize bounds the fingerprints that are told to a host
	// whose link opens.
	quarantineMemorySize = 256
	// quarantineMemory is for how long they are told.
	quarantineMemory = 10 * time.Minute
)

// quarantineNews keeps the newest news of each fingerprint, since news may be
// lost with a link.
type quarantineNews struct {
	byFingerprint *lru.Cache[uint64, toldQuarantine]
}

type toldQuarantine struct {
	servers []string
	// crashed is when the last of the servers crashed.
	crashed time.Time
}

func newQuarantineNews() quarantineNews {
	cache, _ := lru.New[uint64, toldQuarantine](quarantineMemorySize)
	return quarantineNews{byFingerprint: cache}
}

// note keeps what is new among some news, of more servers or of a later crash, and
// returns it.
func (q quarantineNews) note(now time.Time, entries []message.Quarantine) []message.Quarantine {
	var fresh []message.Quarantine
	for _, news := range entries {
		crashed := now.Add(-settings.Milliseconds(news.AgeMs))
		old, known := q.byFingerprint.Peek(news.Fingerprint)
		again := known && crashed.After(old.crashed.Add(quarantine.CrashReportWindow))
		if known && !again && len(news.Servers) <= len(old.servers) {
			continue
		}
		q.byFingerprint.Add(news.Fingerprint, toldQuarantine{servers: news.Servers, crashed: crashed})
		fresh = append(fresh, news)
	}
	return fresh
}

// all returns the news to tell a host that may lack them.
func (q quarantineNews) all(now time.Time) []message.Quarantine {
	var entries []message.Quarantine
	for _, fingerprint := range q.byFingerprint.Keys() {
		told, _ := q.byFingerprint.Peek(fingerprint)
		if age := now.Sub(told.crashed); age < quarantineMemory {
			entries = append(entries, message.Quarantine{
				Fingerprint: fingerprint, Servers: told.servers, AgeMs: int(age.Milliseconds()),
			})
		}
	}
	return entries
}

// tellQuarantines sends a host all that is known.
func (l *Loop) tellQuarantines(now time.Time, host string) {
	if entries := l.quarantines.all(now); len(entries) > 0 {
		l.send(now, host, quarantineFrame(entries))
	}
}

// tellOpenedLink tells a host whose link opened, if one of the two coordinates a pool:
// if all told each other, the return of many hosts at once would fill all inboxes.
func (l *Loop) tellOpenedLink(now time.Time, host string) {
	if l.coordinates(l.host) || l.coordinates(host) {
		l.tellQuarantines(now, host)
	}
}

// coordinates reports whether a host coordinates a pool.
func (l *Loop) coordinates(host string) bool {
	if l.applied == nil {
		return false
	}
	for _, pool := range l.applied.Pools() {
		if owner, ok := l.view.Coordinator(pool); ok && owner == host {
			return true
		}
	}
	return false
}

// quarantinesReceived takes the news of another host, and passes on what is new.
func (l *Loop) quarantinesReceived(now time.Time, from string, entries []message.Quarantine) {
	fresh := l.quarantines.note(now, entries)
	if len(fresh) == 0 {
		return
	}
	f := quarantineFrame(fresh)
	l.coordinator.Handle(now, from, f)
	l.passOn(from, f)
}

func quarantineFrame(entries []message.Quarantine) *message.Frame {
	return &message.Frame{Quarantines: &message.Quarantines{Entries: entries}}
}
