// Package policystore holds the policy in force in one process.
//
// The backend servers are those of the published policy until SetServers replaces
// them with discovered ones.
//
// Invariants: the generation in force never decreases, a store accepts at most one
// content per generation, and readers see complete policies only, since policies are
// immutable and exchanged atomically.
package policystore

import (
	"fmt"
	"sync"
	"sync/atomic"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// StaleError is returned for an offer of a lower generation than the one in force.
// Offered and InForce are generations.
type StaleError struct {
	Offered, InForce int
	Source           string
}

// Error contains both generations and the source of the offer.
func (e *StaleError) Error() string {
	return fmt.Sprintf("policy generation %d from %s is older than %d in force", e.Offered, e.Source, e.InForce)
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
	// known is closed when the first policy is in force.
	known chan struct{}

	mu          sync.Mutex
	subscribers []func(*policy.Policy)
	// servers are the discovered backend servers; nil before the first SetServers.
	servers []policy.Server
}

// sourcedPolicy is a policy and the source of its offer.
type sourcedPolicy struct {
	policy *policy.Policy
	source string
}

// New returns an empty Store.
func New() *Store { return &Store{known: make(chan struct{})} }

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

// Offer puts a valid policy into force if its generation is higher than the one in
// force. An offer of the policy in force has no effect. The error is a *StaleError or
// a *ConflictError. Offer returns after all subscribers have been called.
func (s *Store) Offer(p *policy.Policy, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.Current(); current != nil {
		switch {
		case p.Generation < current.Generation:
			return &StaleError{Offered: p.Generation, InForce: current.Generation, Source: source}
		case p.Generation == current.Generation && p.Digest != current.Digest:
			return &ConflictError{Generation: p.Generation, Offered: p.Digest, InForce: current.Digest, Source: source}
		case p.Generation == current.Generation:
			return nil
		}
	}
	s.install(p, source)
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
		s.install(current.policy, current.source)
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
func (s *Store) install(p *policy.Policy, source string) {
	if s.servers != nil {
		p = p.WithServers(s.servers)
	}
	if s.current.Swap(&sourcedPolicy{policy: p, source: source}) == nil {
		close(s.known)
	}
	for _, f := range s.subscribers {
		f(p)
	}
}

// Known returns a channel that is closed once a policy is in force.
func (s *Store) Known() <-chan struct{} { return s.known }

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
	if p := s.Current(); p != nil {
		return p.Bundle().Manifest
	}
	return message.PolicyManifest{}
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
