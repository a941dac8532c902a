// Package policystore holds the policy in force in one process.
//
// Backend servers are part of the published policy, or are discovered while the
// process runs and then stand in the place of the published ones.
//
// Invariants: the generation in force never goes down, two contents of one
// generation are never both accepted, and a reader sees a whole policy or the
// whole one before it.
package policystore

import (
	"fmt"
	"sync"
	"sync/atomic"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// StaleError is an offer of a lower generation than the one in force.
type StaleError struct {
	Offered, InForce int
	Source           string
}

// Error names both generations and the source of the offer.
func (e *StaleError) Error() string {
	return fmt.Sprintf("policy generation %d from %s is older than %d in force", e.Offered, e.Source, e.InForce)
}

// ConflictError is an offer of the generation in force with other content.
type ConflictError struct {
	Generation       int
	Offered, InForce string
	Source           string
}

// Error names the generation, both digests and the source of the offer.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("policy generation %d from %s has digest %.12s, but %.12s is in force: publish changes under a new generation",
		e.Generation, e.Source, e.Offered, e.InForce)
}

// Store holds the policy in force. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[sourcedPolicy]

	mu          sync.Mutex
	subscribers []func(*policy.Policy)
	// servers are those discovered; nil before the first discovery.
	servers []policy.Server
}

type sourcedPolicy struct {
	policy *policy.Policy
	source string
}

// New returns an empty Store.
func New() *Store { return &Store{} }

// Current returns the policy in force, or nil before the first one. It is one
// atomic load.
func (s *Store) Current() *policy.Policy {
	if e := s.current.Load(); e != nil {
		return e.policy
	}
	return nil
}

// Source says where the policy in force came from.
func (s *Store) Source() string {
	if e := s.current.Load(); e != nil {
		return e.source
	}
	return ""
}

// Offer puts a checked policy into force if its generation is higher than the
// one in force. The same policy again changes nothing. The error is a
// *StaleError or a *ConflictError. Offer returns after all subscribers were
// told.
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

// SetServers puts discovered backend servers in the place of the published ones,
// now and in later policies. servers must not change afterwards.
func (s *Store) SetServers(servers []policy.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	if e := s.current.Load(); e != nil {
		s.install(e.policy, e.source)
	}
}

// install tells the subscribers of a policy that is now in force.
func (s *Store) install(p *policy.Policy, source string) {
	if s.servers != nil {
		p = p.WithServers(s.servers)
	}
	s.current.Store(&sourcedPolicy{policy: p, source: source})
	for _, f := range s.subscribers {
		f(p)
	}
}

// Subscribe calls f with the policy in force, if any, and then with each later
// one, in order. f must not call Offer or Subscribe.
func (s *Store) Subscribe(f func(*policy.Policy)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if p := s.Current(); p != nil {
		f(p)
	}
}

// Manifest returns the manifest of the policy in force; its generation is 0
// before the first one.
func (s *Store) Manifest() message.PolicyManifest {
	if p := s.Current(); p != nil {
		return p.Bundle().Manifest
	}
	return message.PolicyManifest{}
}

// Section returns the text of a section of the policy in force.
func (s *Store) Section(digest string) (string, bool) {
	p := s.Current()
	if p == nil {
		return "", false
	}
	text, ok := p.Bundle().Sections[digest]
	return text, ok
}

// Missing returns the digests of a manifest whose sections are not part of the
// policy in force.
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

// Assemble builds the policy of a manifest from fetched sections and those of
// the policy in force. It puts nothing into force. Errors are those of
// policy.Assemble.
func (s *Store) Assemble(m message.PolicyManifest, fetched []message.PolicySection) (*policy.Policy, error) {
	sections := map[string]string{}
	for _, section := range fetched {
		sections[section.Digest] = section.Text
	}
	return policy.AssembleFrom(s.Current(), m, sections)
}
