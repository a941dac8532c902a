// Package operation executes non-repeatable calls at most once.
//
// There are two ways to identify such a call. A ticket names the entry host and
// the incarnation that minted it, and only that incarnation executes it. A bare
// idempotency key is executed by its keeper, an entry host of the key's home
// zone chosen by rendezvous hashing, and only if the keeper can't have missed
// an earlier call with that key. Otherwise the reply says that the call may have
// run.
//
// The state machines recordTable, Tickets and Keeper are pure: they neither
// read a clock nor do I/O. Service connects them with the front and the other
// entry hosts.
package operation

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// Header names of non-repeatable calls.
const (
	// HeaderTicket carries a ticket.
	HeaderTicket = "Mimosa-Ticket"
	// HeaderKey carries a bare idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderState carries the State of the operation over all attempts.
	HeaderState = "Mimosa-Operation"
)

// State is what is known of an operation over all attempts.
type State string

const (
	// StateExecuted means that the operation ran and that the answer is the
	// operation's own.
	StateExecuted State = "executed"
	// StateVoid means that the operation never ran and never will under this
	// ticket or key.
	StateVoid State = "void"
	// StateUnknown means that the operation may have run or may still run.
	StateUnknown State = "unknown"
	// StateNotSent means that this attempt did not execute the operation and
	// won't. The verdict is MayHaveRun, because the outcomes of other attempts
	// are unknown; a caller that made no other attempt can conclude that the
	// operation did not run.
	StateNotSent State = "not_sent"
)

// Action is what the service does with a call.
type Action int

const (
	// ActionRun executes the call; the result must be passed to Finish of the
	// state machine that decided.
	ActionRun Action = iota + 1
	// ActionWait waits for the execution in progress.
	ActionWait
	// ActionReply answers at once with Decision.Reply.
	ActionReply
)

// Decision is the result of a state machine for a call.
type Decision struct {
	// Action is what to do with the call.
	Action Action
	// ID identifies the record of an ActionRun or ActionWait.
	ID string
	// Reply is set for an ActionReply.
	Reply message.OperationReply
}

func replyNow(reply message.OperationReply) Decision {
	return Decision{Action: ActionReply, Reply: reply}
}

// refusal returns a reply with an error instead of an answer.
func refusal(code apierror.Code, v verdict.Verdict, state State, text string) message.OperationReply {
	err := apierror.New(code, v, "%s", text)
	return message.OperationReply{
		Status:  err.Status(),
		Code:    string(code),
		Verdict: message.OperationReplyVerdict(v),
		Body:    []byte(text),
		Headers: []message.Header{{Name: HeaderState, Value: string(state)}},
	}
}

// withState returns reply with its state header set. It doesn't modify the
// argument's headers.
func withState(reply message.OperationReply, state State) message.OperationReply {
	headers := make([]message.Header, 0, len(reply.Headers)+1)
	for _, header := range reply.Headers {
		if http.CanonicalHeaderKey(header.Name) != HeaderState {
			headers = append(headers, header)
		}
	}
	reply.Headers = append(headers, message.Header{Name: HeaderState, Value: string(state)})
	return reply
}

// stateOf returns the state of an operation after an execution. An execution
// that did not reach a server voids the operation: once the caller has been
// answered that nothing ran, a delayed duplicate must not run.
func stateOf(reply message.OperationReply) State {
	switch reply.Verdict {
	case message.OperationReplyVerdictRan:
		return StateExecuted
	case message.OperationReplyVerdictNotRun:
		return StateVoid
	default:
		return StateUnknown
	}
}

// fingerprint hashes the content of a call, to detect a ticket or key reused
// for a different call.
func fingerprint(call message.OperationCall) uint64 {
	hash := xxhash.New()
	for _, part := range []string{call.Service, call.Method, call.Path, string(call.Body)} {
		hash.WriteString(strconv.Itoa(len(part)))
		hash.WriteString(":")
		hash.WriteString(part)
	}
	return hash.Sum64()
}

// keyID returns the fleet-wide identifier of a bare key. Keys are scoped to an
// organisation and a service.
func keyID(call message.OperationCall) string {
	return strings.Join([]string{escape(call.Organisation), escape(call.Service), escape(call.Operation)}, "/")
}

// escape encodes a name for use as one part of a ticket or key ID.
func escape(name string) string {
	return strings.ReplaceAll(url.PathEscape(name), ".", "%2E")
}

// KeyTime returns the Unix time in milliseconds of a key of the form
// <unix-ms>-<anything>, or 0 if the key has another form.
func KeyTime(key string) int {
	digits, rest, ok := strings.Cut(key, "-")
	if !ok || rest == "" || len(digits) != unixMsDigits {
		return 0
	}
	ms, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return 0
	}
	return int(ms)
}

// unixMsDigits is the number of digits of a Unix time in milliseconds between
// the years 2001 and 2286.
const unixMsDigits = 13

// FencingNumber returns the fencing number of a call. A backend server that
// checks fencing numbers refuses a call unless its number is higher than all
// earlier ones of the same operation. All calls of an operation have the same
// number, so that the second of two keepers is refused; a number that grew with
// each start of a keeper would let the newer keeper run a key again.
func FencingNumber(call message.OperationCall) int {
	return max(call.KeyTimeMs, 1)
}

// steadyClock returns times that never jump: the wall clock at the start plus
// the monotonic time elapsed since.
type steadyClock struct {
	now   func() time.Time
	start time.Time
}

func newSteadyClock(now func() time.Time) steadyClock {
	return steadyClock{now: now, start: now()}
}

// Now returns the steady time.
func (c steadyClock) Now() time.Time {
	return c.start.Round(0).Add(c.now().Sub(c.start))
}
