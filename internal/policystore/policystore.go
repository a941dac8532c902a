// Package policystore holds the policy in force in one process.
//
// The backend servers are those of the published policy until SetServers replaces
// them with discovered ones.
//
// Invariants: within an epoch of the platform's store, the generation in force never
// decreases and at most one content per generation is accepted. A policy that was written
// in a later epoch goes before one of an earlier epoch, whatever its generation, unless it
// is one that the policy in force has followed. Readers see complete policies only, since
// policies are immutable and exchanged atomically.
package policystore

import (
	"fmt"
	"sync"
	"sync/atomic"

	"mimosafront/internal/epoch"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// StaleError is returned for an offer that is older than the policy in force: of a lower
// generation, or of an earlier epoch of the platform's store. Offered and InForce are
// generations.
type StaleError struct {
	Offered, InForce               int
	OfferedWritten, InForceWritten epoch.Span
	Source                         string
}

// Error contains both generations, the epochs and the source of the offer.
func (e *StaleError) Error() string {
	return fmt.Sprintf("policy generation %d of epoch %s from %s is older than %d of epoch %s in force",
		e.Offered, e.OfferedWritten, e.Source, e.InForce, e.InForceWritten)
}

// ConflictError is returned for an offer of the generation in force with different
// content. Offered and InForce are digests.
type ConflictError struct {
	Generation       int
	Offered, InForce string
	Source           string
}

// Error contains the generation, the source and the first 12 characters of both
// digests.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("policy generation %d from %s has digest %.12s, but %.12s is in force: publish changes under a new generation",
		e.Generation, e.Source, e.Offered, e.InForce)
}

// Store holds the policy in force. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[sourcedPolicy]

	mu          sync.Mutex
	subscribers []func(*policy.Policy)
	// servers are the discovered backend servers; nil before the first SetServers.
	servers []policy.Server
}

// Version names a policy and when it can have been written.
type Version struct {
	Generation int
	Digest     string
	Written    epoch.Span
}

// sourcedPolicy is a policy, the source of its offer and when it can have been written.
type sourcedPolicy struct {
	policy  *policy.Policy
	source  string
	written epoch.Span
	// followed are the last policies that were in force before and that this host knows to
	// be older, oldest first.
	followed []Version
}

// New returns an empty Store.
func New() *Store { return &Store{} }

// Current returns the policy in force, or nil before the first one. It is one
// atomic load.
func (s *Store) Current() *policy.Policy {
	if current := s.current.Load(); current != nil {
		return current.policy
	}
	return nil
}

// Source returns the source of the policy in force, or "" before the first one.
func (s *Store) Source() string {
	if current := s.current.Load(); current != nil {
		return current.source
	}
	return ""
}

// Version returns the version in force, or the zero Version before the first policy.
func (s *Store) Version() Version { return s.current.Load().version() }

// Supersedes reports whether a version would go into force, or shows that the policy in
// force was written again. The digest may be empty if it isn't known.
func (s *Store) Supersedes(v Version) bool {
	current := s.current.Load()
	switch current.compare(v) {
	case newer:
		return true
	case same:
		return current.written.Before(v.Written)
	}
	return false
}

// Offer puts a valid policy into force if its generation is higher than the one in
// force. An offer of the policy in force has no effect. The error is a *StaleError or
// a *ConflictError. Offer returns after all subscribers have been called.
func (s *Store) Offer(p *policy.Policy, source string) error {
	return s.OfferWritten(p, source, epoch.Span{})
}

// OfferWritten is Offer of a policy that was written to the platform's store. A policy of
// a later epoch goes into force whatever its generation, unless it is known to have been
// followed by another: then it is written again, and the one in force will be. An offer of
// the policy in force records that it was written again.
func (s *Store) OfferWritten(p *policy.Policy, source string, written epoch.Span) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	offered, inForce := Version{Generation: p.Generation, Digest: p.Digest, Written: written}, current.version()
	switch current.compare(offered) {
	case newer:
		s.install(&sourcedPolicy{policy: p, source: source, written: written, followed: current.followedBy(offered)})
	case same:
		again := *current
		again.written = inForce.Written.Merge(written)
		s.current.Store(&again)
	case conflicting:
		return &ConflictError{Generation: p.Generation, Offered: p.Digest, InForce: inForce.Digest, Source: source}
	case older:
		return &StaleError{Offered: p.Generation, InForce: inForce.Generation, OfferedWritten: written, InForceWritten: inForce.Written, Source: source}
	}
	return nil
}

// SetServers replaces the published backend servers with discovered ones, in the
// policy in force and in later ones, and calls the subscribers. servers must not be nil,
// and the caller must not modify them afterwards.
func (s *Store) SetServers(servers []policy.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	if current := s.current.Load(); current != nil {
		again := *current
		s.install(&again)
	}
}

// ServersKnown reports whether SetServers has been called.
func (s *Store) ServersKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers != nil
}

// install puts a policy into force, with the discovered servers if there are any, and
// calls the subscribers. The caller holds mu.
func (s *Store) install(next *sourcedPolicy) {
	if s.servers != nil {
		next.policy = next.policy.WithServers(s.servers)
	}
	s.current.Store(next)
	for _, f := range s.subscribers {
		f(next.policy)
	}
}

// Subscribe calls f with the policy in force, if any, and then with each later one,
// in order. f must not call Offer, SetServers or Subscribe, which would deadlock.
func (s *Store) Subscribe(f func(*policy.Policy)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if p := s.Current(); p != nil {
		f(p)
	}
}

// Manifest returns the manifest of the policy in force, or one of generation 0 before
// the first policy.
func (s *Store) Manifest() message.PolicyManifest {
	manifest, _ := s.WrittenManifest()
	return manifest
}

// WrittenManifest is Manifest with the epochs in which the policy can have been written.
func (s *Store) WrittenManifest() (message.PolicyManifest, epoch.Span) {
	if current := s.current.Load(); current != nil {
		return current.policy.Bundle().Manifest, current.written
	}
	return message.PolicyManifest{}, epoch.Span{}
}

// Section returns the text of the section of the policy in force with this digest,
// and whether there is one.
func (s *Store) Section(digest string) (string, bool) {
	p := s.Current()
	if p == nil {
		return "", false
	}
	text, ok := p.Bundle().Sections[digest]
	return text, ok
}

// Missing returns the digests, without duplicates, of those sections of a manifest
// that are not part of the policy in force.
func (s *Store) Missing(m message.PolicyManifest) []string {
	var missing []string
	seen := map[string]bool{}
	for _, ref := range m.Sections {
		if _, ok := s.Section(ref.Digest); !ok && !seen[ref.Digest] {
			seen[ref.Digest] = true
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// Assemble builds the policy of a manifest from fetched sections and sections of the
// policy in force. The policy in force does not change. Errors are those of
// policy.AssembleFrom.
func (s *Store) Assemble(m message.PolicyManifest, fetched []message.PolicySection) (*policy.Policy, error) {
	sections := map[string]string{}
	for _, section := range fetched {
		sections[section.Digest] = section.Text
	}
	return policy.AssembleFrom(s.Current(), m, sections)
}
