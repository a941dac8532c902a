package operation

import (
	"time"

	"github.com/rs/xid"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// TicketConfig configures Tickets for one incarnation of an entry host.
type TicketConfig struct {
	// Host is the name of the entry host.
	Host string
	// Incarnation is the number of this start of the host.
	Incarnation int
	// Key signs tickets.
	Key []byte
	// Lifetime is the time after minting within which a ticket may be executed.
	Lifetime time.Duration
	// Limits bounds the record table.
	Limits Limits
}

// Tickets mints tickets and decides which may be executed. It is not safe for
// concurrent use.
//
// Invariants: a ticket is executed at most once; a ticket that was answered as
// not run is never executed. Both hold without a shared clock, a lease or a
// quorum, because no other process executes these tickets. A record may be
// removed once its ticket has expired, because an expired ticket is never
// executed.
type Tickets struct {
	config  TicketConfig
	records *recordTable
	// voidMintedUntil holds, by organisation, the mint time up to which tickets
	// without a record are void. It stands for the records of tickets that were
	// refused because the table was full.
	voidMintedUntil map[string]time.Time
}

// NewTickets returns Tickets without records.
func NewTickets(c TicketConfig) *Tickets {
	return &Tickets{config: c, records: newRecordTable(c.Limits), voidMintedUntil: map[string]time.Time{}}
}

// Mint returns a new ticket for an organisation and a service.
func (t *Tickets) Mint(now time.Time, organisation, service string) Ticket {
	ticket := Ticket{
		Host:         t.config.Host,
		Incarnation:  t.config.Incarnation,
		ID:           xid.NewWithTime(now),
		Organisation: organisation,
	}
	ticket.mac = ticket.sign(t.config.Key, service)
	return ticket
}

// Begin decides about a call with one of this incarnation's tickets. Each
// ActionRun must be followed by Finish with the decision's ID.
func (t *Tickets) Begin(now time.Time, ticket Ticket, call message.OperationCall) Decision {
	if !ticket.hasValidSignature(t.config.Key, call.Service) {
		return replyNow(refusal(apierror.CodeTicketInvalid, verdict.NotRun, StateVoid,
			"the ticket was not minted by the host that it names, or for another service"))
	}
	if ticket.Organisation != call.Organisation {
		return replyNow(refusal(apierror.CodeForbidden, verdict.NotRun, StateUnknown,
			"the ticket belongs to another organisation"))
	}
	id, contentHash := ticket.unsigned(), fingerprint(call)
	if decision, ok := t.records.find(id, contentHash); ok {
		return decision
	}
	if now.Sub(ticket.MintedAt()) >= t.config.Lifetime {
		return replyNow(refusal(apierror.CodeTicketHostGone, verdict.MayHaveRun, StateNotSent, "the ticket has expired"))
	}
	if !ticket.MintedAt().After(t.voidMintedUntil[call.Organisation]) {
		return replyNow(voidReply("the ticket is void; send the call with a new ticket"))
	}
	if t.full(now, call.Organisation) {
		t.voidMintedUntil[call.Organisation] = ticket.MintedAt()
		return replyNow(voidReply("too many operations are remembered; send the call with a new ticket later"))
	}
	t.records.insert(&record{
		id: id, organisation: call.Organisation, fingerprint: contentHash,
		startedAt: now, expiresAt: ticket.MintedAt().Add(t.config.Lifetime),
	})
	return Decision{Action: ActionRun, ID: id}
}

// full reports whether the table is full even after expired records are
// removed.
func (t *Tickets) full(now time.Time, organisation string) bool {
	if !t.records.full(organisation) {
		return false
	}
	t.records.expire(now)
	return t.records.full(organisation)
}

// Finish stores the answer of an execution.
func (t *Tickets) Finish(id string, reply message.OperationReply) { t.records.finish(id, reply) }

// Expire removes expired records and entries of voidMintedUntil.
func (t *Tickets) Expire(now time.Time) {
	t.records.sweep(now)
	for organisation, until := range t.voidMintedUntil {
		if now.Sub(until) >= t.config.Lifetime {
			delete(t.voidMintedUntil, organisation)
		}
	}
}

// voidReply refuses an operation permanently.
func voidReply(text string) message.OperationReply {
	return refusal(apierror.CodeQueueFull, verdict.NotRun, StateVoid, text)
}
