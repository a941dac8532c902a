package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/apierror"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
	"mimosafront/internal/verdict"
)

const testPolicy = `
[policy]
generation = 1
[zone a]
link_ms = 1
[zone b]
link_ms = 1
[tier high]
rank = 0
[tier low]
rank = 1
[organisation north]
[caller n1]
organisation = north
key_sha256 = 19551d6cc32c653eecb67ce2a39d7b3f442dad14f60165fc8efb69977f7964c8
[hardware h]
prefill_tokens_per_s = 8000
decode_tokens_per_s = 1500
tokens_in_flight = 32000
[model m]
context_tokens = 8192
[server a1]
kind = engine
zone = a
address = 127.0.0.1:1
hardware = h
models = m
max_requests = 4
[server b1]
kind = engine
zone = b
address = 127.0.0.1:2
hardware = h
models = m
max_requests = 4
`

const testSettings = `
[node]
name = e1
zone = a
policy_file = unused
[peer]
insecure = true
heartbeat_ms = 100
suspect_ms = 500
dead_ms = 1000
[scheduler]
grant_lifetime_ms = 300
`

// startLoop runs a loop without peers until the test ends.
func startLoop(t *testing.T) *Loop {
	t.Helper()
	return startLoopWith(t, testPolicy, nil)
}

// startLoopWith runs a loop with a policy, and with engines to place models on.
func startLoopWith(t *testing.T, policyText string, engines Engines) *Loop {
	t.Helper()
	s, err := settings.Parse("settings", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	p, err := policy.Parse("policy", []byte(policyText))
	if err != nil {
		t.Fatal(err)
	}
	store := policystore.New()
	if err := store.Offer(p, "test"); err != nil {
		t.Fatal(err)
	}
	l := New(Config{
		Settings: s, Incarnation: 1, Policies: store, Engines: engines,
		Logger: eventlog.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l
}

func testRequest(id string) grant.Request {
	now := time.Now()
	return grant.Request{
		ID: id, Target: "m", Organisation: "north", Caller: "n1", PromptTokens: 100, OutputTokens: 50,
		Arrived: now, Deadline: now.Add(20 * time.Second),
	}
}

func mustAcquire(t *testing.T, l *Loop, id string) grant.Lease {
	t.Helper()
	lease, err := l.Acquire(t.Context(), testRequest(id))
	if err != nil {
		t.Fatalf("acquire %s: %v", id, err)
	}
	return lease
}

func TestLeaseDispatchesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		lease := mustAcquire(t, l, "r1")
		if err := lease.Dispatch(); err != nil {
			t.Fatalf("first dispatch: %v", err)
		}
		wantNotRun(t, lease.Dispatch())
		lease.Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
	})
}

func TestBoundLeaseResumesButNeverDispatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		first := mustAcquire(t, l, "r1")
		wantNotRun(t, first.Resume())
		if err := first.Dispatch(); err != nil {
			t.Fatalf("dispatch: %v", err)
		}
		first.Release(grant.Result{Outcome: message.ReleaseOutcomeParked})
		r := testRequest("r1")
		r.Server, r.Zone = first.Server().Name, first.Server().Zone
		second, err := l.Acquire(t.Context(), r)
		if err != nil || second.Server().Name != r.Server {
			t.Fatalf("bound grant: %v, %v", second, err)
		}
		wantNotRun(t, second.Dispatch())
		if err := second.Resume(); err != nil {
			t.Errorf("resume: %v", err)
		}
		wantNotRun(t, second.Resume())
	})
}

func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		lease := mustAcquire(t, l, "r1")
		time.Sleep(301 * time.Millisecond)
		wantNotRun(t, lease.Dispatch())
	})
}

// The server holds four requests at once, so the fifth waits until one is released.
func TestReleaseLetsWaitingRequestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		var leases []grant.Lease
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			lease := mustAcquire(t, l, id)
			if err := lease.Dispatch(); err != nil {
				t.Fatal(err)
			}
			leases = append(leases, lease)
		}
		got := make(chan grant.Lease, 1)
		go func() {
			lease, _ := l.Acquire(t.Context(), testRequest("r5"))
			got <- lease
		}()
		time.Sleep(time.Second)
		select {
		case <-got:
			t.Fatal("a fifth grant on a server with max_requests = 4")
		default:
		}
		leases[0].Release(grant.Result{Outcome: message.ReleaseOutcomeFinished})
		if lease := <-got; lease == nil {
			t.Fatal("no grant after a release")
		}
	})
}

// A request whose caller has left must remain neither waiting nor granted.
func TestAbandonedAcquireLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		for range 20 {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := l.Acquire(ctx, testRequest("gone"))
			if err != nil {
				wantNotRun(t, err)
			}
		}
		time.Sleep(time.Second)
		l.inspect(t, func() {
			if n := l.asker.Held() + l.asker.Waiting(); n != 0 {
				t.Errorf("%d requests left behind", n)
			}
		})
	})
}

func TestUnknownTargetIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		r := testRequest("r1")
		r.Target = "none"
		_, err := l.Acquire(t.Context(), r)
		wantNotRun(t, err)
	})
}

// probe runs a check on the control goroutine.
type probe struct {
	check func()
	done  chan struct{}
}

func (p probe) apply(l *Loop, now time.Time) {
	p.check()
	close(p.done)
}

// inspect runs a check on the control goroutine and waits for it.
func (l *Loop) inspect(t *testing.T, check func()) {
	t.Helper()
	done := make(chan struct{})
	if err := l.post(t.Context(), probe{check, done}); err != nil {
		t.Fatal(err)
	}
	<-done
}

func wantNotRun(t *testing.T, err *apierror.Error) {
	t.Helper()
	if err == nil {
		t.Fatal("no error")
	}
	if err.Verdict != verdict.NotRun {
		t.Fatalf("verdict %s, want not_run: %v", err.Verdict, err)
	}
}

// Dispatch checks the lifetime itself, since a tick that would expire the lease may be
// late.
func TestDispatchChecksBothClocks(t *testing.T) {
	now := time.Now()
	l := &Loop{now: func() time.Time { return now }}
	g := message.Grant{Grant: "g", LifetimeMs: 300}
	if err := newLease(l, now.Add(-200*time.Millisecond), g, policy.Server{}).Dispatch(); err != nil {
		t.Errorf("within the lifetime: %v", err)
	}
	wantNotRun(t, newLease(l, now.Add(-300*time.Millisecond), g, policy.Server{}).Dispatch())
	// The machine was suspended: the wall clock advanced, the monotonic clock stopped.
	wantNotRun(t, newLease(l, now.Round(0).Add(-time.Minute), g, policy.Server{}).Dispatch())
}

func TestSuspensionEndsDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startLoop(t)
		time.Sleep(2 * time.Second)
		suspended := false
		l.inspect(t, func() {
			if !l.member.Joined() {
				t.Error("the host had no duties before the suspension")
			}
			l.suspended = func(time.Time) bool {
				defer func() { suspended = false }()
				return suspended
			}
			suspended = true
		})
		// A loop that took both functions in one turn would not look for a suspension
		// between them.
		synctest.Wait()
		l.inspect(t, func() {
			if l.member.Joined() {
				t.Error("the host kept its duties after a suspension")
			}
		})
		time.Sleep(2 * time.Second)
		l.inspect(t, func() {
			if !l.member.Joined() {
				t.Error("the host has not taken up its duties again")
			}
		})
	})
}

func TestMostFrequentFramesAreNamed(t *testing.T) {
	counts := frameCounts{byKind: map[message.Kind]int{message.KindBeat: 3, message.KindQuarantines: 9, message.KindAsk: 9}}
	if kind, count := counts.mostFrequent(); kind != message.KindAsk || count != 9 {
		t.Errorf("got %s, %d", kind, count)
	}
	counts.reset(time.Now())
	if kind, count := counts.mostFrequent(); kind != "" || count != 0 {
		t.Errorf("got %s, %d after a reset", kind, count)
	}
}
