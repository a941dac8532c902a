package operation

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// Limits bounds the memory of a record table.
type Limits struct {
	// MaxRecords is the most operations remembered at once.
	MaxRecords int
	// MaxPerOrganisation is the most that one organisation may have of them.
	MaxPerOrganisation int
	// MaxAnswerBytes is the largest answer kept for a replay.
	MaxAnswerBytes int
	// MaxBytes is the most bytes of answers kept at once. The oldest answers
	// are dropped first; their operations are still remembered.
	MaxBytes int
}

// DefaultLimits bounds a record table to about 32 MB.
var DefaultLimits = Limits{
	MaxRecords:         65536,
	MaxPerOrganisation: 16384,
	MaxAnswerBytes:     64 << 10,
	MaxBytes:           16 << 20,
}

// record is what is known of one operation.
//
// Invariant: a record leaves the table only after the operation can't be
// executed any more for another reason, and never while it is executed.
type record struct {
	id           string
	organisation string
	fingerprint  uint64
	keyRange     int
	startedAt    time.Time
	expiresAt    time.Time
	finished     bool
	reply        message.OperationReply
	// answerDropped says that the answer was too large or too old to be kept.
	answerDropped bool
}

// recordTable remembers operations in bounded memory.
type recordTable struct {
	limits         Limits
	byID           map[string]*record
	byOrganisation map[string]int
	// answers are the records that keep an answer, the oldest first.
	answers     []*record
	answerBytes int
	// nextSweep is when sweep looks at the records again.
	nextSweep time.Time
}

// sweepInterval is the time between two looks at all records.
const sweepInterval = time.Second

func newRecordTable(limits Limits) *recordTable {
	return &recordTable{limits: limits, byID: map[string]*record{}, byOrganisation: map[string]int{}}
}

// find returns the decision for an operation that is known already.
func (r *recordTable) find(id string, fingerprint uint64) (Decision, bool) {
	rec, ok := r.byID[id]
	if !ok {
		return Decision{}, false
	}
	if rec.fingerprint != 0 && rec.fingerprint != fingerprint {
		return replyNow(refusal(apierror.CodeTicketInvalid, verdict.MayHaveRun, StateUnknown,
			"the ticket or key was used for another call before")), true
	}
	if !rec.finished {
		return Decision{Action: ActionWait, ID: id}, true
	}
	return replyNow(rec.replay()), true
}

// replay returns the answer to a repeated call.
func (r *record) replay() message.OperationReply {
	if r.answerDropped {
		return refusal(apierror.CodeAnswerNotKept, verdict.Ran, StateExecuted,
			"the operation ran before; its answer is no longer kept")
	}
	reply := r.reply
	reply.Replayed = true
	return reply
}

// full reports whether the table has no room for another operation of an
// organisation.
func (r *recordTable) full(organisation string) bool {
	return len(r.byID) >= r.limits.MaxRecords || r.byOrganisation[organisation] >= r.limits.MaxPerOrganisation
}

// insert adds a record. The table must not be full, except for records that
// another host hands over.
func (r *recordTable) insert(added *record) {
	r.byID[added.id] = added
	r.byOrganisation[added.organisation]++
}

// finish stores the answer of an execution. It changes nothing if the operation
// is finished already.
func (r *recordTable) finish(id string, reply message.OperationReply) {
	rec, ok := r.byID[id]
	if !ok || rec.finished {
		return
	}
	rec.finished = true
	rec.reply = withState(reply, stateOf(reply))
	r.storeAnswer(rec)
}

// storeAnswer bounds the bytes of the answers.
func (r *recordTable) storeAnswer(rec *record) {
	size := replySize(rec.reply)
	if size > r.limits.MaxAnswerBytes {
		rec.dropAnswer()
		return
	}
	r.answers = append(r.answers, rec)
	r.answerBytes += size
	for r.answerBytes > r.limits.MaxBytes {
		oldest := r.answers[0]
		r.answers = r.answers[1:]
		r.answerBytes -= replySize(oldest.reply)
		oldest.dropAnswer()
	}
}

// dropAnswer forgets the answer, but not the operation. An answer that says nothing
// beyond its verdict stays.
func (r *record) dropAnswer() {
	r.reply.Body = nil
	r.reply.Headers = []message.Header{{Name: HeaderState, Value: string(stateOf(r.reply))}}
	r.answerDropped = r.reply.Verdict == message.OperationReplyVerdictRan
}

// replySize returns the bytes that an answer takes.
func replySize(reply message.OperationReply) int {
	size := len(reply.Body)
	for _, header := range reply.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// sweep removes the finished records whose time is over, if it did not look a
// moment ago. A record that stays longer than it must does no harm.
func (r *recordTable) sweep(now time.Time) {
	if !now.Before(r.nextSweep) {
		r.expire(now)
	}
}

// expire removes the finished records whose time is over.
func (r *recordTable) expire(now time.Time) {
	r.nextSweep = now.Add(sweepInterval)
	for id, rec := range r.byID {
		if !rec.finished || now.Before(rec.expiresAt) {
			continue
		}
		delete(r.byID, id)
		if r.byOrganisation[rec.organisation]--; r.byOrganisation[rec.organisation] == 0 {
			delete(r.byOrganisation, rec.organisation)
		}
	}
	r.expireAnswers(now)
}

func (r *recordTable) expireAnswers(now time.Time) {
	kept := r.answers[:0]
	for _, rec := range r.answers {
		if now.Before(rec.expiresAt) {
			kept = append(kept, rec)
			continue
		}
		r.answerBytes -= replySize(rec.reply)
	}
	clear(r.answers[len(kept):])
	r.answers = kept
}
