package policystore_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
)

// fataler is implemented by testing.TB and *rapid.T.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// newPolicy returns a policy whose sections all contain the number content, so that
// requireConsistent detects a mixture of two policies.
func newPolicy(t fataler, generation, content int) *policy.Policy {
	text := fmt.Sprintf("[policy]\ngeneration = %d\nassociation = c%d\n[tier t]\nrank = 0\ndeadline_ms = %d\n", generation, content, content+1)
	for i := range 8 {
		text += fmt.Sprintf("[zone z%d]\nregion = c%d\n[organisation o%d]\nmax_waiting = %d\n", i, content, i, content)
	}
	p, err := policy.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// requireConsistent fails unless all sections of a policy contain the same number.
func requireConsistent(t fataler, p *policy.Policy) {
	for i := range 8 {
		zone, organisation := p.Zones[fmt.Sprint("z", i)], p.Organisations[fmt.Sprint("o", i)]
		if zone.Region != p.Association || fmt.Sprint("c", organisation.MaxWaiting) != p.Association || p.Tiers[0].DeadlineMs != organisation.MaxWaiting+1 {
			t.Fatalf("generation %d mixes sections of several policies: %+v %+v %+v", p.Generation, p.Header, zone, organisation)
		}
	}
}

func TestOffer(t *testing.T) {
	store := policystore.New()
	var notified []int
	store.Subscribe(func(p *policy.Policy) { notified = append(notified, p.Generation) })
	first, second := newPolicy(t, 4, 0), newPolicy(t, 5, 0)
	for _, p := range []*policy.Policy{first, first, second} {
		if err := store.Offer(p, "file"); err != nil {
			t.Fatal(err)
		}
	}
	var stale *policystore.StaleError
	if err := store.Offer(first, "platform"); !errors.As(err, &stale) || stale.InForce != 5 {
		t.Errorf("offer of a lower generation: %v, want a StaleError", err)
	}
	var conflict *policystore.ConflictError
	if err := store.Offer(newPolicy(t, 5, 1), "platform"); !errors.As(err, &conflict) {
		t.Errorf("offer of the same generation with different content: %v, want a ConflictError", err)
	}
	if store.Current() != second || store.Source() != "file" || fmt.Sprint(notified) != "[4 5]" {
		t.Errorf("generation %d from %s in force, subscriber called with %v; want generation 5 from file and [4 5]", store.Current().Generation, store.Source(), notified)
	}
}

func TestEmptyStore(t *testing.T) {
	store := policystore.New()
	m := newPolicy(t, 1, 0).Bundle().Manifest
	if store.Current() != nil || store.Manifest().Generation != 0 || len(store.Missing(m)) != len(m.Sections) {
		t.Error("an empty store contains a policy or sections")
	}
}

func TestMissingReturnsOnlyChangedSections(t *testing.T) {
	store := policystore.New()
	if err := store.Offer(newPolicy(t, 1, 0), "file"); err != nil {
		t.Fatal(err)
	}
	next := newPolicy(t, 2, 0).Bundle()
	missing := store.Missing(next.Manifest)
	if len(missing) != 1 {
		t.Fatalf("%d sections are missing, want only the header", len(missing))
	}
	p, err := store.Assemble(next.Manifest, []message.PolicySection{{Digest: missing[0], Text: next.Sections[missing[0]]}})
	if err != nil || p.Generation != 2 {
		t.Errorf("Assemble: %v, %v", p, err)
	}
	if store.Current().Generation != 1 {
		t.Error("Assemble put a policy into force")
	}
}

// peers is the model of a property test: stores that exchange manifests and sections
// over links that lose, repeat, reorder and damage them.
type peers struct {
	stores    []*policystore.Store
	published []*policy.Policy
	// highest is the highest generation seen in force in each store.
	highest  []int
	sections map[string]string
}

func (p *peers) publish(t *rapid.T) {
	generation := rapid.IntRange(1, 12).Draw(t, "generation")
	next := newPolicy(t, generation, rapid.IntRange(0, 2).Draw(t, "content"))
	p.published = append(p.published, next)
	for digest, text := range next.Bundle().Sections {
		p.sections[digest] = text
	}
	p.offer(t, rapid.IntRange(0, len(p.stores)-1).Draw(t, "host"), next)
}

func (p *peers) offer(t *rapid.T, host int, next *policy.Policy) {
	before := p.stores[host].Current()
	err := p.stores[host].Offer(next, "test")
	if err != nil && p.stores[host].Current() != before {
		t.Fatalf("a rejected offer changed the policy in force")
	}
}

// exchange offers one host the policy of another host's manifest, with some sections
// lost, damaged or replaced, and sometimes a manifest mixed from two policies.
func (p *peers) exchange(t *rapid.T) {
	from := p.stores[rapid.IntRange(0, len(p.stores)-1).Draw(t, "from")]
	to := rapid.IntRange(0, len(p.stores)-1).Draw(t, "to")
	m := from.Manifest()
	var fetched []message.PolicySection
	for _, digest := range p.stores[to].Missing(m) {
		text := p.sections[digest]
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			continue
		case 1:
			text += "\n"
		case 2:
			text = "[tier x]\nrank = 5\n"
		}
		fetched = append(fetched, message.PolicySection{Digest: digest, Text: text})
	}
	if rapid.IntRange(0, 9).Draw(t, "mix") == 0 && len(p.published) > 0 {
		other := rapid.SampledFrom(p.published).Draw(t, "other").Bundle().Manifest
		m.Sections = append(append([]message.PolicySectionRef{}, m.Sections[:len(m.Sections)/2]...), other.Sections[len(m.Sections)/2:]...)
	}
	if next, err := p.stores[to].Assemble(m, fetched); err == nil {
		p.offer(t, to, next)
	}
}

func (p *peers) check(t *rapid.T) {
	for i, store := range p.stores {
		current := store.Current()
		if current == nil {
			continue
		}
		requireConsistent(t, current)
		if current.Generation < p.highest[i] {
			t.Fatalf("generation of host %d decreased from %d to %d", i, p.highest[i], current.Generation)
		}
		p.highest[i] = current.Generation
		isPublished := false
		for _, published := range p.published {
			isPublished = isPublished || published.Digest == current.Digest
		}
		if !isPublished {
			t.Fatalf("the policy of host %d was never published", i)
		}
	}
}

func TestStoresNeverGoBackAndNeverMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &peers{stores: []*policystore.Store{policystore.New(), policystore.New(), policystore.New()}, highest: make([]int, 3), sections: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){"publish": p.publish, "exchange": p.exchange, "exchange more": p.exchange, "": p.check})
	})
}

// TestReadersSeeWholePolicies checks concurrent readers and writers: the generation
// that a reader sees never decreases. The race detector checks the accesses to the
// policies, and requireConsistent checks the last policy.
func TestReadersSeeWholePolicies(t *testing.T) {
	store := policystore.New()
	const generations = 200
	var policies []*policy.Policy
	for i := range generations {
		policies = append(policies, newPolicy(t, i+1, i))
	}
	var writers, readers sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			last := 0
			for {
				if p := store.Current(); p != nil {
					if p.Generation < last {
						t.Errorf("a reader saw generation %d after %d", p.Generation, last)
					}
					last = p.Generation
				}
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for w := range 3 {
		writers.Go(func() {
			for i := w; i < generations; i++ {
				store.Offer(policies[i], "test")
			}
		})
	}
	writers.Wait()
	close(done)
	readers.Wait()
	requireConsistent(t, store.Current())
}

func BenchmarkCurrent(b *testing.B) {
	store := policystore.New()
	if err := store.Offer(newPolicy(b, 1, 0), "file"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if store.Current() == nil {
			b.Fatal("no policy in force")
		}
	}
}
