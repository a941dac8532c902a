package asker

import (
	"time"

	"mimosafront/internal/message"
)

// heldGrant is a grant that the front holds.
type heldGrant struct {
	message.HeldGrant
	// grantedBy is the coordinator that sent the grant.
	grantedBy string
	expiresAt time.Time
	// reportedTokens is the OutputTokens of the last Progress entry.
	reportedTokens int
	// firstToken is the time from dispatch to the first token.
	firstToken time.Duration
	// dispatchedAt is when Dispatched was called.
	dispatchedAt time.Time
}

func (s *State) newHeldGrant(now time.Time, from string, a *ask, g *message.Grant) *heldGrant {
	r := a.request
	h := &heldGrant{
		grantedBy: from,
		expiresAt: now.Add(time.Duration(g.LifetimeMs) * time.Millisecond),
		HeldGrant: message.HeldGrant{
			Grant: g.Grant, Request: g.Request, Attempt: g.Attempt, Pool: g.Pool, Server: g.Server,
			Organisation: r.Organisation, Caller: r.Caller, Tier: r.Tier,
			PromptTokens: r.PromptTokens, ExpectedTokens: r.OutputTokens, Fingerprint: r.Fingerprint, Kept: r.NonPreemptible,
		},
	}
	if s.config.PartLengths && len(r.PartTokens) > 0 {
		h.Parts, h.PartTokens = r.Parts, r.PartTokens
	}
	return h
}

// Held returns the number of grants that the front holds.
func (s *State) Held() int { return len(s.grants) }

// Dispatched records that the request of a grant was dispatched.
func (s *State) Dispatched(now time.Time, grant string) {
	if h := s.grants[grant]; h != nil && !h.HeldGrant.Dispatched {
		h.HeldGrant.Dispatched = true
		h.dispatchedAt = now
	}
}

// Progress records the tokens delivered under a grant and the time to the first token.
func (s *State) Progress(grant string, outputTokens int, firstToken time.Duration) {
	if h := s.grants[grant]; h != nil {
		h.OutputTokens = outputTokens
		h.firstToken = firstToken
	}
}

// Release ends a grant and reports its outcome to the coordinator. Further calls for
// the same grant have no effect.
func (s *State) Release(r message.Release) {
	h := s.grants[r.Grant]
	if h == nil {
		return
	}
	delete(s.grants, r.Grant)
	r.Pool, r.Request = h.Pool, h.Request
	s.send(s.currentCoordinator(h), message.Frame{Release: &r})
}

// currentCoordinator returns the host that counts a grant now: the pool's coordinator,
// or the host that sent the grant if the pool has none.
func (s *State) currentCoordinator(h *heldGrant) string {
	if s.topology != nil {
		if host, ok := s.topology.Coordinator(h.Pool); ok {
			return host
		}
	}
	return h.grantedBy
}

// Expired returns the ids of the grants whose lifetime ended before Dispatched was
// called.
func (s *State) Expired(now time.Time) []string {
	var expired []string
	for _, id := range sortedKeys(s.grants) {
		if h := s.grants[id]; !h.HeldGrant.Dispatched && !now.Before(h.expiresAt) {
			expired = append(expired, id)
		}
	}
	return expired
}

// Undispatched returns the ids of the grants whose requests were not dispatched.
func (s *State) Undispatched() []string {
	var ids []string
	for _, id := range sortedKeys(s.grants) {
		if !s.grants[id].HeldGrant.Dispatched {
			ids = append(ids, id)
		}
	}
	return ids
}

// Coordinators returns the hosts where the front has asks or grants.
func (s *State) Coordinators() []string {
	hosts := map[string]bool{}
	for _, a := range s.asks {
		if a.coordinator != "" {
			hosts[a.coordinator] = true
		}
	}
	for _, h := range s.grants {
		hosts[s.currentCoordinator(h)] = true
	}
	return sortedKeys(hosts)
}

// Heartbeat returns the content of the front's heartbeat to one host: the requests that
// wait there, and the grants that the host should count.
func (s *State) Heartbeat(host string) (asks []string, grants []message.HeldGrant) {
	for _, id := range sortedKeys(s.asks) {
		if s.asks[id].coordinator == host {
			asks = append(asks, id)
		}
	}
	for _, id := range sortedKeys(s.grants) {
		if h := s.grants[id]; s.currentCoordinator(h) == host {
			grants = append(grants, h.HeldGrant)
		}
	}
	return asks, grants
}

// SendProgress reports to the coordinators the grants that delivered tokens since the
// last call.
func (s *State) SendProgress(now time.Time) {
	entries := map[string][]message.ProgressEntry{}
	for _, id := range sortedKeys(s.grants) {
		h := s.grants[id]
		if h.OutputTokens == h.reportedTokens {
			continue
		}
		h.reportedTokens = h.OutputTokens
		host := s.currentCoordinator(h)
		entries[host] = append(entries[host], h.progress(now))
	}
	for _, host := range sortedKeys(entries) {
		s.send(host, message.Frame{Progress: &message.Progress{Entries: entries[host]}})
	}
}

func (h *heldGrant) progress(now time.Time) message.ProgressEntry {
	entry := message.ProgressEntry{
		Grant: h.Grant, Pool: h.Pool, OutputTokens: h.OutputTokens,
		FirstTokenMs: int(h.firstToken.Milliseconds()),
	}
	decoding := now.Sub(h.dispatchedAt) - h.firstToken
	if h.OutputTokens > 1 && decoding > 0 {
		entry.GapMs = float64(decoding.Microseconds()) / 1000 / float64(h.OutputTokens-1)
	}
	return entry
}
