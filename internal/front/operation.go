package front

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/xid"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// maxOperationID limits the length of a ticket or key, in bytes.
const maxOperationID = 512

// operationRef identifies an operation by its ticket or key. It is zero for calls that
// may be repeated.
type operationRef struct {
	kind message.OperationCallKind
	id   string
}

// chooseOperation returns the operation that the header of a call identifies. A call
// that must not be repeated needs a ticket, or a key where the policy allows keys.
func chooseOperation(service policy.Service, header http.Header, repeatable bool) (operationRef, *apierror.Error) {
	ticket, key := header.Get(HeaderTicket), header.Get(HeaderIdempotencyKey)
	if len(ticket) > maxOperationID || len(key) > maxOperationID {
		return operationRef{}, malformed("a ticket or key has at most %d bytes", maxOperationID)
	}
	switch {
	case repeatable:
		return operationRef{}, nil
	case ticket != "" && key != "":
		return operationRef{}, malformed("a call carries a ticket or a key, not both")
	case ticket != "":
		return operationRef{kind: message.OperationCallKindTicket, id: ticket}, nil
	case key != "" && service.Operations == policy.ServiceOperationsTicketOrKey:
		return operationRef{kind: message.OperationCallKindKey, id: key}, nil
	}
	return operationRef{}, apierror.New(apierror.CodeTicketNeeded, verdict.NotRun,
		"this call may not be repeated: POST /services/%s/tickets first and send the ticket as %s", service.Name, HeaderTicket)
}

// ticketBody is the body of an answer with a new ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// mintTicket answers with a new ticket for one operation.
func (f *Front) mintTicket(w http.ResponseWriter, q *request) *apierror.Error {
	body, err := json.Marshal(ticketBody{Ticket: f.config.Operations.Mint(q.caller, q.target)})
	if err != nil {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "the ticket can't be encoded").WithCause(err)
	}
	q.outcome.verdict = verdict.Ran
	w.Header().Set("Content-Type", "application/json")
	f.writeBody(w, q, http.StatusCreated, body)
	return nil
}

// executeOperation sends a call to the entry host that is responsible for the operation
// and forwards its reply to the caller.
func (f *Front) executeOperation(w http.ResponseWriter, q *request, ref operationRef, call backend.ServiceCall) *apierror.Error {
	reply := f.config.Operations.Execute(q.ctx, message.OperationCall{
		Call:         q.id,
		Kind:         ref.kind,
		Operation:    ref.id,
		Service:      q.target,
		Organisation: q.caller.Organisation,
		Caller:       q.caller.Name,
		Tier:         q.tier.Rank,
		DeadlineMs:   int(q.deadline.Sub(now()).Milliseconds()),
		Method:       call.Method,
		Path:         call.Path,
		Headers:      toHeaders(call.Header),
		Body:         call.Body,
	})
	f.admission.release(q)
	q.outcome.verdict = verdict.Verdict(reply.Verdict)
	header := fromHeaders(reply.Headers)
	if state := header.Get(HeaderOperation); state != "" {
		w.Header().Set(HeaderOperation, state)
	}
	if reply.Code != "" {
		return replyError(reply)
	}
	if !backend.IsAnswer(reply.Status) {
		return apierror.New(apierror.CodeServerFailed, q.outcome.verdict, "the answer of the operation has the status %03d", reply.Status)
	}
	if reply.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	f.writeAnswer(w, q, &backend.ServiceAnswer{Status: reply.Status, Header: header, Body: reply.Body})
	return nil
}

// replyError returns the error that a reply carries.
func replyError(reply message.OperationReply) *apierror.Error {
	err := apierror.New(apierror.Code(reply.Code), verdict.Verdict(reply.Verdict), "%s", replyMessage(reply))
	if err.Verdict.Retryable() && err.Status() == http.StatusServiceUnavailable {
		return err.WithRetry(shortRetryDelay)
	}
	return err
}

// replyMessage returns the error message of a reply, which is sent as its body.
func replyMessage(reply message.OperationReply) string {
	if len(reply.Body) == 0 {
		return "the operation was not completed"
	}
	return string(reply.Body)
}

// RunOperation dispatches an operation once, through the scheduler and the adapter for
// plain services. The caller must ensure that only one entry host runs an operation,
// and only once.
func (f *Front) RunOperation(ctx context.Context, call message.OperationCall) message.OperationReply {
	q, err := f.beginOperation(ctx, call)
	defer f.end(q)
	if err != nil {
		q.fail(err)
		return errorReply(call, err)
	}
	answer, err := f.runService(q, backend.ServiceCall{
		ID:            q.id,
		Method:        call.Method,
		Path:          call.Path,
		Header:        fromHeaders(call.Headers),
		Body:          call.Body,
		OperationID:   call.Operation,
		FencingNumber: call.Fencing,
	})
	if err != nil {
		q.fail(err)
		return errorReply(call, err)
	}
	q.outcome.status = answer.Status
	return message.OperationReply{
		Call:    call.Call,
		Status:  answer.Status,
		Headers: toHeaders(pickHeaders(answer.Header, answerHeaders)),
		Body:    answer.Body,
		Verdict: message.OperationReplyVerdictRan,
	}
}

// beginOperation is like begin for a call that another entry host, or another part of
// this one, has authenticated.
func (f *Front) beginOperation(ctx context.Context, call message.OperationCall) (*request, *apierror.Error) {
	q := &request{id: call.Call, arrived: now(), policy: f.config.Policy(), target: call.Service}
	if q.id == "" {
		q.id = xid.New().String()
	}
	q.outcome.verdict = verdict.NotRun
	q.caller = policy.Caller{Name: call.Caller, Organisation: call.Organisation}
	cancelled, cancel := context.WithCancelCause(ctx)
	q.ctx, q.cancel, q.stop = cancelled, cancel, func() { cancel(nil) }
	if q.policy == nil {
		return q, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no policy is in force yet").WithRetry(shortRetryDelay)
	}
	q.tier, _ = q.policy.Tier(q.policy.TierName(call.Tier))
	if err := q.setDeadline(nil, call.DeadlineMs); err != nil {
		return q, err
	}
	q.openEndWait()
	if !f.active.addAccepted(q) {
		return q, stoppingError()
	}
	return q, f.admission.reserve(q, len(call.Body))
}

// errorReply returns the reply that carries an error.
func errorReply(call message.OperationCall, err *apierror.Error) message.OperationReply {
	return message.OperationReply{
		Call:    call.Call,
		Code:    string(err.Code),
		Body:    []byte(err.Message),
		Verdict: message.OperationReplyVerdict(err.Verdict),
	}
}

func toHeaders(header http.Header) []message.Header {
	var list []message.Header
	for name, values := range header {
		for _, value := range values {
			list = append(list, message.Header{Name: name, Value: value})
		}
	}
	return list
}

func fromHeaders(list []message.Header) http.Header {
	header := http.Header{}
	for _, h := range list {
		header.Add(h.Name, h.Value)
	}
	return header
}

// callHash identifies the content of a service call for poison quarantine.
func callHash(service string, call backend.ServiceCall) uint64 {
	digest := xxhash.New()
	for _, part := range []string{service, call.Method, call.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}
