package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

// newTestPool returns a pool of servers with the given limit of tokens in flight.
func newTestPool(servers, tokens int) *Pool {
	p := NewPool(Config{
		MaxWaiting: 1000, MaxWaitingTokens: 10_000_000,
		FirstTokenTarget: 1600 * time.Millisecond, GapTarget: 33 * time.Millisecond, GrantPrefix: "g",
	})
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{
			Name: fmt.Sprint("s", i), Hardware: "g", PrefillTokensPerS: 8000, DecodeTokensPerS: 1500,
			TokensInFlight: tokens, MaxRequests: 64,
		}
	}
	p.SetServers(start, list)
	return p
}

// backloggedAccount always has waiting requests; granted counts its granted tokens.
type backloggedAccount struct {
	organisation, caller string
	sizes                func() int
	granted              int
}

// runBacklogs keeps all accounts backlogged on a pool that runs one request at a time,
// and calls check after each grant.
func runBacklogs(t *rapid.T, accounts []*backloggedAccount, grants int, check func()) {
	p := newTestPool(1, 1)
	byID := map[string]*backloggedAccount{}
	next := 0
	add := func(b *backloggedAccount) {
		next++
		id := fmt.Sprint("r", next)
		byID[id] = b
		p.Add(start, Request{
			ID: id, Organisation: b.organisation, Caller: b.caller, PromptTokens: b.sizes(), Deadline: start.Add(time.Hour),
		})
	}
	for _, b := range accounts {
		for range 3 {
			add(b)
		}
	}
	for range grants {
		for _, a := range p.TakeActions() {
			if a.Kind != ActionGrant {
				t.Fatalf("unexpected %s: %s", a.Kind, a.Reason)
			}
			byID[a.Request.ID].granted += a.Request.PromptTokens
			add(byID[a.Request.ID])
			check()
			p.Release(start, a.Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: a.Request.PromptTokens})
		}
	}
}

// Organisations, and the callers of each, must receive the same number of tokens up to
// the size of one request.
func TestBackloggedOrganisationsStayWithinOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		largest := rapid.IntRange(2, 3000).Draw(t, "largest")
		size := func() int { return rapid.IntRange(1, largest).Draw(t, "size") }
		var accounts []*backloggedAccount
		byOrganisation := map[string][]*backloggedAccount{}
		for _, organisation := range []string{"a", "b", "c"} {
			for i := range rapid.IntRange(1, 4).Draw(t, "callers") {
				b := &backloggedAccount{organisation: organisation, caller: fmt.Sprint("x", i), sizes: size}
				accounts = append(accounts, b)
				byOrganisation[organisation] = append(byOrganisation[organisation], b)
			}
		}
		runBacklogs(t, accounts, 60, func() {
			lowest, highest := 1<<60, 0
			for _, callers := range byOrganisation {
				sum := 0
				for _, b := range callers {
					sum += b.granted
				}
				lowest, highest = min(lowest, sum), max(highest, sum)
			}
			if highest-lowest > largest {
				t.Fatalf("organisations received %d to %d tokens, more than a request of %d apart", lowest, highest, largest)
			}
		})
		for organisation, callers := range byOrganisation {
			lowest, highest := 1<<60, 0
			for _, b := range callers {
				lowest, highest = min(lowest, b.granted), max(highest, b.granted)
			}
			if highest-lowest > largest {
				t.Fatalf("callers of %s received %d to %d tokens, more than a request of %d apart", organisation, lowest, highest, largest)
			}
		}
	})
}

// An organisation that becomes active must alternate with the others instead of catching
// up for its idle time.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	p := newTestPool(1, 1)
	add := func(id, organisation string) {
		p.Add(start, Request{ID: id, Organisation: organisation, PromptTokens: 100, Deadline: start.Add(time.Hour)})
	}
	order := ""
	step := func() {
		for _, a := range p.TakeActions() {
			order += a.Request.Organisation
			p.Release(start, a.Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 100})
		}
	}
	for i := range 20 {
		add(fmt.Sprint("a", i), "a")
	}
	for range 8 {
		step()
	}
	for i := range 6 {
		add(fmt.Sprint("b", i), "b")
	}
	order = ""
	for range 8 {
		step()
	}
	if order != "abababab" && order != "babababa" {
		t.Errorf("order after b became active is %s, want a and b to alternate", order)
	}
}

// The counter is charged by estimate at the grant and corrected by reported tokens.
func TestReleaseCorrectsTheCounters(t *testing.T) {
	p := newTestPool(1, 100000)
	add := func(id string, output int) {
		p.Add(start, Request{ID: id, Organisation: "a", OutputTokens: output, PromptTokens: 10, Deadline: start.Add(time.Hour)})
	}
	add("r1", 500)
	a := p.TakeActions()[0]
	o := p.queue.tiers[0].organisations["a"]
	if o.served != 510 {
		t.Fatalf("counter after the grant is %v, want the estimate of 510", o.served)
	}
	p.Progress(start, a.Grant, Progress{OutputTokens: 700, FirstToken: time.Millisecond})
	if o.served != 710 {
		t.Errorf("counter after 700 tokens is %v, want 710", o.served)
	}
	p.Release(start, a.Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: 10, CachedTokens: 8, OutputTokens: 700})
	if o.served != 702 {
		t.Errorf("counter after the release is %v, want 702: cached tokens are not charged", o.served)
	}
	add("r2", 500)
	p.Release(start, p.TakeActions()[0].Grant, Result{Outcome: message.ReleaseOutcomeUnused})
	if o.served != 702 {
		t.Errorf("counter after an unused grant is %v, want 702", o.served)
	}
}

// Tokens received in other zones count like local ones, with a limited lead.
func TestRemoteUsageLeadIsBounded(t *testing.T) {
	p := newTestPool(1, 1)
	p.Add(start, Request{ID: "r0", Organisation: "c", PromptTokens: 1, Deadline: start.Add(time.Hour)})
	p.ChargeRemote(UsageKey{Organisation: "a"}, 300)
	for _, organisation := range []string{"a", "b"} {
		for i := range 6 {
			p.Add(start, Request{
				ID: fmt.Sprint(organisation, i), Organisation: organisation, PromptTokens: 100, Deadline: start.Add(time.Hour),
			})
		}
	}
	order := ""
	for range 8 {
		for _, a := range p.TakeActions() {
			order += a.Request.Organisation
			p.Release(start, a.Grant, Result{Outcome: message.ReleaseOutcomeFinished, PromptTokens: a.Request.PromptTokens})
		}
	}
	if order != "cbbbabab" && order != "cbbbbaba" {
		t.Errorf("order is %s, want b to receive first the 300 tokens that a received in another zone", order)
	}
	p.ChargeRemote(UsageKey{Organisation: "z"}, 1<<40)
	if lead, bound := p.queue.tiers[0].organisations["z"].served, p.tokensPerSecond()*maxRemoteLead.Seconds(); lead > p.queue.tiers[0].clock+bound {
		t.Errorf("the lead is %v, want at most %v", lead, bound)
	}
}
