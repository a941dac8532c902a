package engine

import "time"

// A held request computes nothing and has no place in the batch. Its state,
// the tokens of prompt and output that were computed, is kept outside the
// batch's memory, within Config.HoldTokens and for Config.HoldTime. The call
// that resumes the stream puts it back into the batch.

// Hold is a time in which a request was held; End is zero while it is.
type Hold struct {
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end,omitzero"`
}

// computed returns the tokens that were computed, which its state consists of.
func (s *sequence) computed() int { return s.prefilled + s.generated }

// hold takes a running sequence out of the batch and keeps its state. It cancels
// the sequence when memory is lacking.
func (e *Engine) hold(s *sequence) {
	switch {
	case s.outcome != OutcomeRunning:
		return
	case e.heldTokens+s.computed() > e.config.HoldTokens:
		e.end(s, OutcomeCancelled)
		return
	}
	now := time.Now()
	e.batch.remove(s)
	e.heldTokens += s.computed()
	s.outcome, s.held = OutcomeHeld, now
	entry := &e.journal.entries[s.entry]
	entry.Holds = append(entry.Holds, Hold{Begin: now})
	e.record(s)
	s.signal()
}

// unhold frees the memory of a held sequence and leaves it running, outside the
// batch.
func (e *Engine) unhold(s *sequence) {
	e.heldTokens -= s.computed()
	s.outcome, s.held = OutcomeRunning, time.Time{}
	holds := e.journal.entries[s.entry].Holds
	holds[len(holds)-1].End = time.Now()
}

// goOn puts a held sequence back into the batch.
func (e *Engine) goOn(s *sequence) {
	if s.outcome == OutcomeHeld {
		e.unhold(s)
		e.batch.add(s)
	}
}

// expired reports whether a sequence was held for too long, or lost its reader
// too long ago.
func (e *Engine) expired(now time.Time, s *sequence) bool {
	if s.outcome == OutcomeHeld {
		return now.Sub(s.held) >= e.config.HoldTime
	}
	return !s.lost.IsZero() && now.Sub(s.lost) >= e.config.ResumeWindow
}
