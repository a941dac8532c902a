package control

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
)

// A host that reads policies from its own source fetches one from its peers only after
// PolicyFetchDelay at a lower generation, or if it has none.
func TestPolicyIsFetchedAfterDelay(t *testing.T) {
	p, err := policy.Parse("test", []byte(testPolicy))
	if err != nil {
		t.Fatal(err)
	}
	l := &Loop{config: Config{Policies: policystore.New(), PolicyFetchDelay: time.Second}}
	x := newPolicyExchange(l)
	begin := time.Unix(1_700_000_000, 0)
	fetches := func(after time.Duration, generation int) bool {
		x.handleHeartbeat(begin.Add(after), "e2", &message.Heartbeat{PolicyGeneration: generation})
		select {
		case <-x.queue:
			return true
		default:
			return false
		}
	}
	if !fetches(0, 1) {
		t.Error("a host without a policy did not fetch one")
	}
	if err := l.config.Policies.Offer(p, "test"); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		after      time.Duration
		generation int
		want       bool
	}{
		{0, 1, false}, {0, 2, false}, {900 * time.Millisecond, 3, false}, {time.Second, 3, true}, {5 * time.Second, 1, false},
	} {
		if got := fetches(step.after, step.generation); got != step.want {
			t.Errorf("generation %d after %s: fetched %t, want %t", step.generation, step.after, got, step.want)
		}
	}
}

// The policyChanged event is dropped if the inbox is full. The next tick must apply the
// policy then.
func TestPolicyIsAppliedAfterFullInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		time.Sleep(time.Second)
		blocked, resume := make(chan struct{}), make(chan struct{})
		l.inbox <- probe{check: func() { close(blocked); <-resume }, done: make(chan struct{})}
		<-blocked
		for range inboxSize {
			l.inbox <- probe{check: func() {}, done: make(chan struct{})}
		}
		p, err := policy.Parse("policy", []byte(strings.Replace(testPolicy, "generation = 1", "generation = 2", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if err := l.config.Policies.Offer(p, "test"); err != nil {
			t.Fatal(err)
		}
		close(resume)
		time.Sleep(time.Second)
		l.inspect(t, func() {
			if got := l.member.Heartbeat().PolicyGeneration; got != 2 {
				t.Errorf("generation %d is in force in the control state, want 2", got)
			}
		})
	})
}

// sentFrames is a transport that keeps what is sent.
type sentFrames struct {
	Transport
	frames []*message.Frame
}

func (s *sentFrames) Send(_ string, f *message.Frame) bool {
	s.frames = append(s.frames, f)
	return true
}

// TestFaultyPolicyOfAPeerIsFetchedOnce guards against a host that fetches a policy which it
// can't read, as one in a later format, with each heartbeat of its peers.
func TestFaultyPolicyOfAPeerIsFetchedOnce(t *testing.T) {
	p, err := policy.Parse("test", []byte(strings.Replace(testPolicy, "generation = 1", "generation = 2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	manifest, sections := p.Bundle().Manifest, []message.PolicySection(nil)
	for i, ref := range manifest.Sections {
		text := p.Bundle().Sections[ref.Digest]
		if ref.Name == "policy" {
			text += "format = 99\n"
			manifest.Sections[i].Digest = policy.SectionDigest(text)
		}
		sections = append(sections, message.PolicySection{Digest: policy.SectionDigest(text), Text: text})
	}
	manifest.Digest = policy.ManifestDigest(manifest)
	sent := &sentFrames{}
	now := time.Unix(1_700_000_000, 0)
	l := &Loop{config: Config{Policies: policystore.New(), Logger: eventlog.Discard()}, transport: sent, now: func() time.Time { return now }}
	x := newPolicyExchange(l)
	for range 5 {
		now = now.Add(2 * policyFetchTimeout)
		x.startFetch("e2", policystore.Version{Generation: 2})
		if len(sent.frames) > 0 && x.fetch.from != "" {
			x.addData(&message.PolicyData{Manifest: &manifest, Sections: sections})
		}
	}
	if l.config.Policies.Version().Generation != 0 {
		t.Fatal("the faulty policy is in force")
	}
	if len(sent.frames) != 1 {
		t.Errorf("the faulty policy was fetched %d times, want 1", len(sent.frames))
	}
}
