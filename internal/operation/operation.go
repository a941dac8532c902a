// Package operation executes calls that may not be repeated at most once.
//
// There are two ways to name such a call. A ticket names the entry host and the
// incarnation that minted it, and only that incarnation executes it. A bare
// idempotency key is executed by its keeper, an entry host chosen by hash in
// the key's home zone, and only if the keeper can't have missed an earlier call
// with that key. In all other cases the answer is that the call may have run.
//
// The state machines, records, tickets and Keeper, are pure: they neither read
// a clock nor do I/O. Service joins them with the front and the other entry
// hosts.
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

// Header names of calls that may not be repeated.
const (
	// HeaderTicket carries a ticket.
	HeaderTicket = "Mimosa-Ticket"
	// HeaderKey carries a bare idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderState tells what is known of the operation as a whole, over all
	// attempts. Its values are those of State.
	HeaderState = "Mimosa-Operation"
)

// State is what is known of an operation over all attempts.
type State string

const (
	// StateExecuted means that the operation ran and that the answer is its.
	StateExecuted State = "executed"
	// StateVoid means that the operation never ran and never will under this
	// ticket or key.
	StateVoid State = "void"
	// StateUnknown means that the operation may have run, or may still run.
	StateUnknown State = "unknown"
	// StateNotSent means that this attempt did not execute the operation and
	// won't. Nothing is known of other attempts, so the verdict is that the
	// operation may have run; a caller that made no other attempt knows better.
	StateNotSent State = "not_sent"
)

// Action is what to do with a call.
type Action int

const (
	// ActionRun executes the call; its end must be reported.
	ActionRun Action = iota + 1
	// ActionWait waits for the execution that is in progress.
	ActionWait
	// ActionReply answers at once.
	ActionReply
)

// Decision is the answer of a state machine to a call.
type Decision struct {
	Action Action
	// ID identifies the record of an ActionRun or ActionWait.
	ID string
	// Reply is set for an ActionReply.
	Reply message.OperationReply
}

func replyNow(reply message.OperationReply) Decision {
	return Decision{Action: ActionReply, Reply: reply}
}

// refusal returns a reply that carries an error in place of an answer.
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

// withState returns reply with its state header set. The headers of the
// argument are not changed.
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

// stateOf returns what a finished execution says of its operation. An
// execution that did not reach a server voids the operation: a delayed
// duplicate must not run after the caller was told that nothing ran.
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

// fingerprint tells calls with different content apart.
func fingerprint(call message.OperationCall) uint64 {
	hash := xxhash.New()
	for _, part := range []string{call.Service, call.Method, call.Path, string(call.Body)} {
		hash.WriteString(strconv.Itoa(len(part)))
		hash.WriteString(":")
		hash.WriteString(part)
	}
	return hash.Sum64()
}

// keyID identifies a bare key in all of the fleet. Keys belong to an
// organisation and a service.
func keyID(call message.OperationCall) string {
	return strings.Join([]string{escape(call.Organisation), escape(call.Service), escape(call.Operation)}, "/")
}

// escape makes a name safe as one part of a ticket or of a key's id.
func escape(name string) string {
	return strings.ReplaceAll(url.PathEscape(name), ".", "%2E")
}

// KeyTime returns the Unix time in milliseconds that a key of the form
// <unix-ms>-<anything> carries, or 0.
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

// FencingNumber returns the number that a call's backend server checks. A
// server that checks refuses an operation whose number is not higher than one
// that it has seen for the same operation. The number depends on the operation
// alone, so that whichever of two keepers comes second is refused; a number
// that grew with the keeper's start would let the newer keeper run a key again.
func FencingNumber(call message.OperationCall) int {
	return max(call.KeyTimeMs, 1)
}

// steadyClock turns clock readings into times that never jump, from the wall
// clock at the start and the monotonic time since.
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
