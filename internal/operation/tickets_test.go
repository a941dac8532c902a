package operation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func ticketCall(t Ticket) message.OperationCall {
	return message.OperationCall{
		Kind: message.OperationCallKindTicket, Operation: t.String(), Organisation: t.Organisation,
		Service: "registry", Method: "POST", Path: "/handovers", Body: []byte(`{"coin":"7"}`),
	}
}

func newTestTickets(limits Limits) *Tickets {
	return NewTickets(TicketConfig{Host: "e1", Incarnation: 7, Key: []byte("key"), Lifetime: time.Minute, Limits: limits})
}

func replyWith(v message.OperationReplyVerdict) message.OperationReply {
	return message.OperationReply{Status: 201, Verdict: v, Body: []byte("answer")}
}

func TestTicketRoundTrip(t *testing.T) {
	minted := newTestTickets(DefaultLimits).Mint(epoch, "moeda.velha/x y", "registry")
	parsed, err := ParseTicket(minted.String())
	if err != nil || parsed != minted {
		t.Fatalf("ParseTicket(%q) = %+v, %v; want %+v", minted, parsed, err, minted)
	}
	if parsed.MintedAt() != epoch {
		t.Errorf("minted at %v, want %v", parsed.MintedAt(), epoch)
	}
}

func TestForgedAndForeignTicketsAreRefused(t *testing.T) {
	table := newTestTickets(DefaultLimits)
	ticket := table.Mint(epoch, "aurora", "registry")
	forged := ticket
	forged.Organisation = "tejo"
	otherService := ticketCall(ticket)
	otherService.Service = "orders"
	otherOrganisation := ticketCall(ticket)
	otherOrganisation.Organisation = "tejo"
	for name, decision := range map[string]Decision{
		"forged organisation": table.Begin(epoch, forged, ticketCall(forged)),
		"other service":       table.Begin(epoch, ticket, otherService),
		"other organisation":  table.Begin(epoch, ticket, otherOrganisation),
	} {
		if decision.Action != ActionReply || decision.Reply.Verdict != message.OperationReplyVerdictNotRun {
			t.Errorf("%s: %+v", name, decision)
		}
	}
}

func TestTicketForAnotherCallIsRefused(t *testing.T) {
	table := newTestTickets(DefaultLimits)
	ticket := table.Mint(epoch, "aurora", "registry")
	table.Begin(epoch, ticket, ticketCall(ticket))
	other := ticketCall(ticket)
	other.Body = []byte(`{"coin":"8"}`)
	decision := table.Begin(epoch, ticket, other)
	if decision.Action != ActionReply || decision.Reply.Code != "ticket_invalid" {
		t.Errorf("another body under the same ticket: %+v", decision)
	}
}

func TestAnswersAreBoundedButOperationsRemembered(t *testing.T) {
	table := newTestTickets(Limits{MaxRecords: 10, MaxPerOrganisation: 10, MaxAnswerBytes: 100, MaxBytes: 150})
	var tickets []Ticket
	for i := range 4 {
		ticket := table.Mint(epoch, "aurora", "registry")
		tickets = append(tickets, ticket)
		reply := replyWith(message.OperationReplyVerdictRan)
		reply.Body = []byte(strings.Repeat("x", 50+20*i))
		table.Finish(table.Begin(epoch, ticket, ticketCall(ticket)).ID, reply)
	}
	if table.records.answerBytes > 150 {
		t.Errorf("%d bytes kept", table.records.answerBytes)
	}
	for i, ticket := range tickets {
		decision := table.Begin(epoch, ticket, ticketCall(ticket))
		if decision.Action != ActionReply || decision.Reply.Verdict != message.OperationReplyVerdictRan {
			t.Errorf("ticket %d: %+v", i, decision)
		}
	}
}

func TestExecutionInProgressIsRemembered(t *testing.T) {
	table := newTestTickets(DefaultLimits)
	ticket := table.Mint(epoch, "aurora", "registry")
	table.Begin(epoch, ticket, ticketCall(ticket))
	table.Expire(epoch.Add(time.Hour))
	if decision := table.Begin(epoch.Add(time.Hour), ticket, ticketCall(ticket)); decision.Action != ActionWait {
		t.Errorf("a duplicate of an execution in progress: %+v", decision)
	}
}

// ticketModel checks the invariants of Tickets against the executions of a
// registry.
type ticketModel struct {
	table   *Tickets
	now     time.Time
	minted  []Ticket
	running []string
	runs    map[string]int
	notRun  map[string]bool
}

func (m *ticketModel) mint(t *rapid.T) {
	organisation := rapid.SampledFrom([]string{"aurora", "tejo"}).Draw(t, "organisation")
	m.minted = append(m.minted, m.table.Mint(m.now, organisation, "registry"))
}

func (m *ticketModel) send(t *rapid.T) {
	if len(m.minted) == 0 {
		t.Skip("no ticket yet")
	}
	ticket := rapid.SampledFrom(m.minted).Draw(t, "ticket")
	decision := m.table.Begin(m.now, ticket, ticketCall(ticket))
	id := ticket.unsigned()
	switch decision.Action {
	case ActionRun:
		m.running = append(m.running, id)
	case ActionReply:
		m.recordReply(t, id, decision.Reply)
	}
}

func (m *ticketModel) recordReply(t *rapid.T, id string, reply message.OperationReply) {
	switch reply.Verdict {
	case message.OperationReplyVerdictNotRun:
		m.notRun[id] = true
	case message.OperationReplyVerdictRan:
		if m.runs[id] != 1 {
			t.Fatalf("%s was answered as ran but ran %d times", id, m.runs[id])
		}
	}
}

func (m *ticketModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	id := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	v := rapid.SampledFrom([]message.OperationReplyVerdict{"ran", "not_run", "may_have_run"}).Draw(t, "verdict")
	if v == "ran" || v == "may_have_run" && rapid.Bool().Draw(t, "lost answer") {
		m.runs[id]++
	}
	m.table.Finish(id, replyWith(v))
	m.recordReply(t, id, replyWith(v))
}

func (m *ticketModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "expire") {
		m.table.Expire(m.now)
	}
}

func (m *ticketModel) check(t *rapid.T) {
	for id, runs := range m.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", id, runs)
		}
		if m.notRun[id] && runs > 0 {
			t.Fatalf("%s was answered as not run but ran", id)
		}
	}
	if n := len(m.table.records.byID); n > m.table.config.Limits.MaxRecords {
		t.Fatalf("%d records exceed the limit", n)
	}
}

func TestTicketsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxRecords: 6, MaxPerOrganisation: 4, MaxAnswerBytes: 64, MaxBytes: 300}
		m := &ticketModel{table: newTestTickets(limits), now: epoch, runs: map[string]int{}, notRun: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"mint": m.mint, "send": m.send, "resend": m.send, "finish": m.finish, "advance": m.advance, "": m.check,
		})
	})
}

func FuzzParseTicket(f *testing.F) {
	minted := newTestTickets(DefaultLimits).Mint(epoch, "aurora", "registry")
	for _, seed := range []string{minted.String(), "", "....", "e1.7.x.aurora.mac", "e%2E1.-1.9m4e2mr0ui3e8a215n4g.%2E.", strings.Repeat("a", 2000)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := ParseTicket(text)
		if err != nil {
			return
		}
		if ticket.String() != text {
			t.Errorf("%q was read as %q", text, ticket)
		}
		table := NewTickets(TicketConfig{Host: "e1", Incarnation: 7, Key: []byte("other key"), Lifetime: time.Minute, Limits: DefaultLimits})
		call := ticketCall(ticket)
		if decision := table.Begin(epoch, ticket, call); decision.Action == ActionRun {
			t.Errorf("a ticket that was never minted is executed: %q", text)
		}
	})
}

func ExampleTicket() {
	ticket := Ticket{Host: "e1", Incarnation: 7, Organisation: "aurora"}
	fmt.Println(ticket.unsigned())
	// Output: e1.7.00000000000000000000.aurora
}
