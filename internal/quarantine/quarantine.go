// Package quarantine finds the requests that crash backend servers.
//
// A crash tells which requests ran on the server, not which of them caused it.
// The rule: each fingerprint that ran on a crashed server becomes a suspect. A
// suspect that runs to its end on any server is cleared. A suspect that is on a
// second server when that crashes is quarantined, provided that it is the only
// earlier suspect there; so an innocent request that shared both servers with
// the culprit is not quarantined together with it. The same server counts again
// only if it crashes anew, as it must in a pool of one. Coordinators place at
// most one suspect on a server at a time, and run only one request of a
// suspected fingerprint at a time.
//
// What is left: an innocent suspect that shares its second server with a new,
// different culprit is quarantined until the time is over, or until a run of it
// that was under way ends well.
//
// The package is pure: no I/O, no clock, no goroutine, no lock.
package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// State is what is believed of a fingerprint.
type State int

// The standings, from harmless to harmful.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// Config bounds a Table.
type Config struct {
	// Capacity is the most fingerprints kept; the oldest go first.
	Capacity int
	// SuspectTTL is how long a fingerprint stays suspected after a crash.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a fingerprint is refused after its last crash.
	QuarantineTTL time.Duration
}

// CrashReportWindow is how long reports of a server's crash may mean the same crash.
const CrashReportWindow = 10 * time.Second

// crashesToQuarantine is the number of crashes that must count.
const crashesToQuarantine = 2

// Table holds the suspected and quarantined fingerprints.
//
// Invariant: it holds at most Capacity fingerprints, none of them zero.
type Table struct {
	config  Config
	records *simplelru.LRU[uint64, *crashRecord]
}

type crashRecord struct {
	// servers that crashed and count against the fingerprint.
	servers   []string
	lastCrash time.Time
}

func (r *crashRecord) state() State {
	if len(r.servers) >= crashesToQuarantine {
		return Quarantined
	}
	return Suspect
}

// New returns an empty table.
func New(c Config) *Table {
	records, err := simplelru.NewLRU[uint64, *crashRecord](max(c.Capacity, 1), nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	return &Table{config: c, records: records}
}

// Check returns the standing of a fingerprint. Zero, which stands for no
// fingerprint, is always clear.
func (t *Table) Check(now time.Time, fingerprint uint64) State {
	r, ok := t.records.Peek(fingerprint)
	if !ok {
		return Clear
	}
	state := r.state()
	ttl := t.config.SuspectTTL
	if state == Quarantined {
		ttl = t.config.QuarantineTTL
	}
	if now.Sub(r.lastCrash) >= ttl {
		t.records.Remove(fingerprint)
		return Clear
	}
	return state
}

// RecordCrash notes that a server crashed while it ran these fingerprints. It returns
// those whose standing rose.
func (t *Table) RecordCrash(now time.Time, server string, fingerprints []uint64) []uint64 {
	var newSuspects, priorSuspects []uint64
	for _, fingerprint := range fingerprints {
		if fingerprint == 0 || slices.Contains(newSuspects, fingerprint) || slices.Contains(priorSuspects, fingerprint) {
			continue
		}
		switch t.Check(now, fingerprint) {
		case Clear:
			newSuspects = append(newSuspects, fingerprint)
		case Suspect:
			r, _ := t.records.Peek(fingerprint)
			if !slices.Contains(r.servers, server) || now.Sub(r.lastCrash) >= CrashReportWindow {
				priorSuspects = append(priorSuspects, fingerprint)
			}
		}
	}
	for _, fingerprint := range newSuspects {
		t.addCrash(now, fingerprint, server)
	}
	if len(priorSuspects) == 1 {
		t.addCrash(now, priorSuspects[0], server)
		return append(newSuspects, priorSuspects...)
	}
	return newSuspects
}

func (t *Table) addCrash(at time.Time, fingerprint uint64, server string) {
	r, ok := t.records.Get(fingerprint)
	if !ok {
		r = &crashRecord{}
		t.records.Add(fingerprint, r)
	}
	r.servers = append(r.servers, server)
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
}

// RecordFinish notes that a request of the fingerprint ran to its end, which clears
// it. It reports whether the fingerprint was known.
func (t *Table) RecordFinish(fingerprint uint64) bool {
	return t.records.Remove(fingerprint)
}

// Merge takes the news of a peer: the servers that crashed under a fingerprint,
// the last of them so long ago. It reports whether the standing rose.
func (t *Table) Merge(now time.Time, fingerprint uint64, servers []string, age time.Duration) bool {
	if fingerprint == 0 || age < 0 || age >= t.config.QuarantineTTL {
		return false
	}
	before := t.Check(now, fingerprint)
	for _, server := range servers {
		r, ok := t.records.Peek(fingerprint)
		if ok && (slices.Contains(r.servers, server) || len(r.servers) >= crashesToQuarantine) {
			continue
		}
		t.addCrash(now.Add(-age), fingerprint, server)
	}
	return t.Check(now, fingerprint) > before
}

// CrashedServers returns the crashed servers that count against a fingerprint, and the
// time since the last crash.
func (t *Table) CrashedServers(now time.Time, fingerprint uint64) ([]string, time.Duration) {
	r, ok := t.records.Peek(fingerprint)
	if !ok {
		return nil, 0
	}
	return slices.Clone(r.servers), now.Sub(r.lastCrash)
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int { return t.records.Len() }

// Quarantined returns the quarantined fingerprints, hex and sorted.
func (t *Table) Quarantined(now time.Time) []string {
	var list []string
	for _, fingerprint := range t.records.Keys() {
		if t.Check(now, fingerprint) == Quarantined {
			list = append(list, strconv.FormatUint(fingerprint, 16))
		}
	}
	slices.Sort(list)
	return list
}
