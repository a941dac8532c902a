package operation

import (
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/message"
	"mimosafront/internal/verdict"
)

// Limits bounds the memory of a record table.
type Limits struct {
	// MaxRecords bounds the number of operations remembered at once.
	MaxRecords int
	// MaxPerOrganisation bounds the number of operations of one organisation.
	MaxPerOrganisation int
	// MaxAnswerBytes is the size of the largest answer kept for replay.
	MaxAnswerBytes int
	// MaxBytes bounds the total size of the answers kept. The oldest answers
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
// Invariant: a record is never removed while its operation is executed, and
// afterwards only when something else, such as the expiry of its ticket or key,
// prevents another execution.
type record struct {
	id           string
	organisation string
	// fingerprint hashes the call's content; 0 matches every call.
	fingerprint uint64
	keyRange    int
	startedAt   time.Time
	expiresAt   time.Time
	finished    bool
	reply       message.OperationReply
	// answerDropped is set if the answer was too large or too old to be kept.
	answerDropped bool
}

// recordTable remembers operations in bounded memory.
type recordTable struct {
	limits         Limits
	byID           map[string]*record
	byOrganisation map[string]int
	// answers are the records that hold an answer, oldest first.
	answers     []*record
	answerBytes int
	// nextSweep is the earliest time of the next sweep.
	nextSweep time.Time
}

// sweepInterval is the time between two sweeps of all records.
const sweepInterval = time.Second

func newRecordTable(limits Limits) *recordTable {
	return &recordTable{limits: limits, byID: map[string]*record{}, byOrganisation: map[string]int{}}
}

// find returns the decision for an operation that has a record.
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

// full reports whether the limits admit no further operation of an
// organisation.
func (r *recordTable) full(organisation string) bool {
	return len(r.byID) >= r.limits.MaxRecords || r.byOrganisation[organisation] >= r.limits.MaxPerOrganisation
}

// insert adds a record. Unless the record was handed over by another host, the
// caller must check first that the table is not full.
func (r *recordTable) insert(added *record) {
	r.byID[added.id] = added
	r.byOrganisation[added.organisation]++
}

// finish stores the answer of an execution. It has no effect if the operation
// is already finished.
func (r *recordTable) finish(id string, reply message.OperationReply) {
	rec, ok := r.byID[id]
	if !ok || rec.finished {
		return
	}
	rec.finished = true
	rec.reply = withState(reply, stateOf(reply))
	r.storeAnswer(rec)
}

// storeAnswer keeps a record's answer for replay and drops the oldest answers
// above MaxBytes. An answer above MaxAnswerBytes is dropped at once.
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

// dropAnswer removes the body and headers of the answer but keeps the
// operation. A reply whose verdict is not Ran is still replayed, without them.
func (r *record) dropAnswer() {
	r.reply.Body = nil
	r.reply.Headers = []message.Header{{Name: HeaderState, Value: string(stateOf(r.reply))}}
	r.answerDropped = r.reply.Verdict == message.OperationReplyVerdictRan
}

// replySize returns the size of an answer in bytes.
func replySize(reply message.OperationReply) int {
	size := len(reply.Body)
	for _, header := range reply.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// sweep calls expire at most once per sweepInterval. Keeping a record longer
// than necessary is harmless.
func (r *recordTable) sweep(now time.Time) {
	if !now.Before(r.nextSweep) {
		r.expire(now)
	}
}

// expire removes the finished records that have expired.
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
