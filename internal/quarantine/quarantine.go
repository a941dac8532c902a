// Package quarantine identifies poison requests, whose content crashes backend servers.
//
// A crash shows which requests ran on the server, but not which of them caused it. Each
// fingerprint that ran on a crashed server therefore becomes a suspect. A suspect that
// finishes on any server is cleared. A suspect that runs on a second server when that
// server crashes is quarantined, provided that no other earlier suspect ran there: an
// innocent request that shared both servers with the culprit is thus not quarantined
// with it. A new crash of the same server counts as well, so that poison is found in a
// pool with one server. Coordinators place at most one suspect on a server at a time,
// and run only one request of a suspected fingerprint at a time.
//
// Known limit: an innocent suspect that shares its second server with a different, new
// culprit is quarantined until its TTL expires, or until one of its runs that was under
// way finishes.
//
// The package is pure: no I/O, no clock, no goroutine, no lock.
package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// State is the quarantine state of a fingerprint.
type State int

// The states, in order of severity.
const (
	// Clear fingerprints have no counted crash.
	Clear State = iota
	// Suspect fingerprints ran on a server when it crashed.
	Suspect
	// Quarantined fingerprints are refused.
	Quarantined
)

// Config holds the capacity and the lifetimes of a Table.
type Config struct {
	// Capacity is the maximum number of fingerprints; the least recently updated one is
	// evicted first.
	Capacity int
	// SuspectTTL is how long a fingerprint stays a suspect after its last crash.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a fingerprint is refused after its last crash.
	QuarantineTTL time.Duration
}

// CrashReportWindow is the time in which further reports of a crash of the same server
// count as the same crash.
const CrashReportWindow = 10 * time.Second

// crashesToQuarantine is the number of counted crashes that quarantines a fingerprint.
const crashesToQuarantine = 2

// Table is an LRU table of suspected and quarantined fingerprints.
//
// Invariant: it holds at most Capacity fingerprints, none of them zero.
type Table struct {
	config  Config
	records *simplelru.LRU[uint64, *crashRecord]
}

// crashRecord holds the crashes that count against one fingerprint.
type crashRecord struct {
	// servers are the crashed servers, with one entry per counted crash.
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

// Check returns the state of a fingerprint, and removes its record if the TTL has
// passed. The zero fingerprint stands for none and is always Clear.
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

// RecordCrash counts the crash of a server against the fingerprints that ran on it. It
// returns those whose state became more severe.
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

// addCrash counts the crash of a server against one fingerprint.
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

// RecordFinish clears a fingerprint because a request with it finished. It reports
// whether the fingerprint was in the table.
func (t *Table) RecordFinish(fingerprint uint64) bool {
	return t.records.Remove(fingerprint)
}

// Merge applies an update from a peer: the servers whose crashes count against a
// fingerprint, and the time since the last crash. It reports whether the state became
// more severe.
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

// CrashedServers returns the servers whose crashes count against a fingerprint, and the
// time since the last crash.
func (t *Table) CrashedServers(now time.Time, fingerprint uint64) ([]string, time.Duration) {
	r, ok := t.records.Peek(fingerprint)
	if !ok {
		return nil, 0
	}
	return slices.Clone(r.servers), now.Sub(r.lastCrash)
}

// Len returns the number of suspected and quarantined fingerprints in the table.
func (t *Table) Len() int { return t.records.Len() }

// Quarantined returns the quarantined fingerprints in hexadecimal, sorted.
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
