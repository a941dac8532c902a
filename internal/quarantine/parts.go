package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// crashesToConvict is the number of counted crashes after which requests with a part are
// refused.
const crashesToConvict = 3

// Parts identifies parts of prompts that crash each server which begins to answer a
// request with them. Such requests have nothing else in common, and sound requests may
// share their other parts.
//
// A part of a request that was answered is proven: it is never suspected. Each unproven
// part of a request that had no output yet when its server crashed becomes a suspect.
// Coordinators run requests with a suspected part one at a time, each alone among
// suspects on its server. A crash under such a run counts; an answer clears the part. Runs
// that were granted before the last crash don't count, so that servers which crash at
// the same time for another reason convict no part.
//
// A part that was in each of the crashed requests together with another unproven one
// can't be told from it. Requests with all of these companions are refused; one with some
// of them still runs alone, and proves its parts or crashes.
//
// Parts does no I/O, reads no clock and isn't safe for concurrent use.
type Parts struct {
	config  Config
	records *simplelru.LRU[uint64, *partRecord]
	// proven holds when parts were last answered.
	proven *simplelru.LRU[uint64, time.Time]
}

// partRecord holds the crashes that count against one part.
type partRecord struct {
	// servers are the crashed servers, one entry for each counted crash.
	servers   []string
	lastCrash time.Time
	// companions are the unproven parts that were in all of the crashed requests.
	companions []uint64
}

// CrashedRequest is a request that had no output when its server crashed.
type CrashedRequest struct {
	// Parts are the parts of its prompt but the last.
	Parts     []uint64
	GrantedAt time.Time
}

// NewParts returns an empty table.
func NewParts(c Config) *Parts {
	records, err := simplelru.NewLRU[uint64, *partRecord](max(c.Capacity, 1), nil)
	if err != nil {
		panic(err) // the capacity is positive
	}
	proven, err := simplelru.NewLRU[uint64, time.Time](max(c.Capacity, 1), nil)
	if err != nil {
		panic(err)
	}
	return &Parts{config: c, records: records, proven: proven}
}

// record returns the record of a part, or nil if there is none. A conviction that expires
// leaves a suspect that the next crash convicts again; a suspicion that expires is
// removed.
func (p *Parts) record(now time.Time, part uint64) *partRecord {
	r, ok := p.records.Peek(part)
	if !ok {
		return nil
	}
	switch age := now.Sub(r.lastCrash); {
	case r.convicted() && age >= p.config.QuarantineTTL:
		r.servers, r.lastCrash = r.servers[:crashesToConvict-1], now
	case !r.convicted() && age >= p.config.SuspectTTL:
		p.records.Remove(part)
		return nil
	}
	return r
}

func (r *partRecord) convicted() bool { return len(r.servers) >= crashesToConvict }

func (p *Parts) isProven(now time.Time, part uint64) bool {
	at, ok := p.proven.Peek(part)
	return ok && now.Sub(at) < p.config.QuarantineTTL
}

// State returns the state of a request with these parts, the last one excepted.
func (p *Parts) State(now time.Time, parts []uint64) State {
	state := Clear
	for _, part := range parts {
		r := p.record(now, part)
		switch {
		case r == nil:
		case r.convicted() && p.hasCompanions(now, r, parts):
			return Quarantined
		default:
			state = Suspect
		}
	}
	return state
}

// hasCompanions reports whether parts include all companions of a record that are still
// unproven.
func (p *Parts) hasCompanions(now time.Time, r *partRecord, parts []uint64) bool {
	return !slices.ContainsFunc(r.companions, func(companion uint64) bool {
		return !slices.Contains(parts, companion) && !p.isProven(now, companion)
	})
}

// Suspected returns those of the parts that crashes count against.
func (p *Parts) Suspected(now time.Time, parts []uint64) []uint64 {
	var suspected []uint64
	for _, part := range parts {
		if p.record(now, part) != nil {
			suspected = append(suspected, part)
		}
	}
	return suspected
}

// RecordCrash counts the crash of a server against the parts of the requests that were
// on it. It returns the parts that became suspects or were convicted, and whether a
// request with a part that was suspected before may explain the crash.
func (p *Parts) RecordCrash(now time.Time, server string, requests []CrashedRequest) (escalated []uint64, explained bool) {
	suspects := 0
	for _, q := range requests {
		if len(p.Suspected(now, q.Parts)) > 0 {
			suspects++
		}
	}
	for _, q := range requests {
		unproven := slices.DeleteFunc(slices.Clone(q.Parts), func(part uint64) bool { return p.isProven(now, part) })
		for _, part := range unproven {
			companions := slices.DeleteFunc(slices.Clone(unproven), func(other uint64) bool { return other == part })
			r := p.record(now, part)
			switch {
			case r == nil:
				p.records.Add(part, &partRecord{servers: []string{server}, lastCrash: now, companions: companions})
				escalated = append(escalated, part)
			case suspects == 1 && q.GrantedAt.After(r.lastCrash):
				r.count(now, server, companions)
				if len(r.servers) == crashesToConvict {
					escalated = append(escalated, part)
				}
			}
		}
	}
	return escalated, suspects > 0
}

// count counts a crash, and keeps the companions that were there again.
func (r *partRecord) count(now time.Time, server string, companions []uint64) {
	r.servers = append(r.servers, server)
	r.lastCrash = now
	r.keepCompanions(companions)
}

func (r *partRecord) keepCompanions(companions []uint64) {
	r.companions = slices.DeleteFunc(r.companions, func(part uint64) bool { return !slices.Contains(companions, part) })
}

// RecordAnswer proves all parts of a request that was answered, the last one included. It
// reports whether one of them was suspected.
func (p *Parts) RecordAnswer(now time.Time, parts []uint64) (cleared bool) {
	for _, part := range parts {
		p.proven.Add(part, now)
		cleared = p.records.Remove(part) || cleared
	}
	return cleared
}

// Merge applies an update from another host and reports whether the part became a
// suspect or was convicted by it. Parts that are proven here stay so.
func (p *Parts) Merge(now time.Time, q *message.Quarantine) bool {
	age := settings.Milliseconds(q.AgeMs)
	if q.Fingerprint == 0 || age < 0 || age >= p.config.QuarantineTTL || p.isProven(now, q.Fingerprint) {
		return false
	}
	r := p.record(now, q.Fingerprint)
	if r == nil {
		p.records.Add(q.Fingerprint, &partRecord{
			servers: slices.Clone(q.Servers), lastCrash: now.Add(-age), companions: slices.Clone(q.Companions),
		})
		return true
	}
	before := r.convicted()
	r.servers = mergeCrashes(r.servers, q.Servers)
	r.keepCompanions(q.Companions)
	if at := now.Add(-age); at.After(r.lastCrash) {
		r.lastCrash = at
	}
	return r.convicted() && !before
}

// mergeCrashes returns the crashes that two hosts have counted. Both may have counted the
// same crash, so each server is named as often as in the list that names it more often.
func mergeCrashes(own, other []string) []string {
	merged := slices.Clone(own)
	for _, server := range other {
		if countOf(merged, server) < countOf(other, server) {
			merged = append(merged, server)
		}
	}
	return merged
}

func countOf(list []string, name string) int {
	count := 0
	for _, item := range list {
		if item == name {
			count++
		}
	}
	return count
}

// Update returns the update on a part for other hosts.
func (p *Parts) Update(now time.Time, part uint64) message.Quarantine {
	u := message.Quarantine{Fingerprint: part, Part: true}
	if r := p.record(now, part); r != nil {
		u.Servers, u.Companions, u.AgeMs = slices.Clone(r.servers), slices.Clone(r.companions), int(now.Sub(r.lastCrash).Milliseconds())
	}
	return u
}

// IsConvicted reports whether requests with a part and its companions are refused.
func (p *Parts) IsConvicted(now time.Time, part uint64) bool {
	r := p.record(now, part)
	return r != nil && r.convicted()
}

// Convicted returns the parts that requests are refused for, in hexadecimal, sorted.
func (p *Parts) Convicted(now time.Time) []string {
	var list []string
	for _, part := range p.records.Keys() {
		if r := p.record(now, part); r != nil && r.convicted() {
			list = append(list, strconv.FormatUint(part, 16))
		}
	}
	slices.Sort(list)
	return list
}
