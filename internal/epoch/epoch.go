// Package epoch orders what was read from a store that can return from an earlier copy
// of itself.
//
// The store loses then what it acknowledged after the copy, gives revisions out again
// and begins a new epoch. It answers the fault that a host takes the state of the copy
// for news, or news for the state of the copy, because numbers went back.
//
// It does no input or output, reads no clock and keeps no state.
package epoch

import "strconv"

// Span is the range of epochs in which something can have been written to the store:
// From <= epoch < End. End is 0 if it isn't known. The zero Span says nothing.
type Span struct {
	From, End int64
}

// In returns the Span of what was written in one epoch.
func In(epoch int64) Span { return Span{From: epoch, End: epoch + 1} }

// Until returns the Span of what was read in an epoch and may be older.
func Until(epoch int64) Span { return Span{End: epoch + 1} }

// Before reports whether what has this Span was certainly written in an earlier epoch
// than what has the other one.
func (s Span) Before(other Span) bool { return s.End > 0 && s.End <= other.From }

// Merge returns the Span of something that was read twice, with s first. What was written
// again in a later epoch has the later Span, otherwise both hold.
func (s Span) Merge(again Span) Span {
	switch {
	case s.Before(again):
		return again
	case again.Before(s):
		return s
	}
	merged := Span{From: max(s.From, again.From), End: min(s.End, again.End)}
	if merged.End == 0 {
		merged.End = max(s.End, again.End)
	}
	return merged
}

// Valid reports whether the Span holds an epoch that is not negative.
func (s Span) Valid() bool { return s.From >= 0 && (s.End == 0 || s.End > s.From) }

// String returns the Span as the log shows it: "3", "1-3" or "1-".
func (s Span) String() string {
	from := strconv.FormatInt(s.From, 10)
	switch s.End {
	case 0:
		return from + "-"
	case s.From + 1:
		return from
	}
	return from + "-" + strconv.FormatInt(s.End-1, 10)
}
