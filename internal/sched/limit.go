package sched

import (
	"math"
	"time"
)

const (
	// decreaseFactor is the multiplicative decrease of a limit, and
	// minDecreaseFactor that of one which is far off its target.
	decreaseFactor    = 0.9
	minDecreaseFactor = 0.5
	// increaseShare of the first limit is added at an increase.
	increaseShare = 0.05
	// minLimitShare and maxLimitShare bound the limit by its first value.
	minLimitShare = 0.125
	maxLimitShare = 4.0
	// busyShare of the limit must be in use for it to grow.
	busyShare = 0.8
	// minEfficiencyShare of the best yield must be kept for the limit to shrink.
	minEfficiencyShare = 0.9
	// bestEfficiencyDecay is what the best yield loses in a window.
	bestEfficiencyDecay = 0.005
	// firstTokenShare of the first-token target is left to the server; the rest
	// is for the wait before the grant.
	firstTokenShare = 0.5
	// initialStreamShare of the target is the time for one token of each stream that a
	// server is given at first; the rest of a step is for prefill.
	initialStreamShare = 0.4
	// targetGapShare of the target is the mean time between tokens that is aimed at,
	// so that most single gaps stay within the target.
	targetGapShare = 0.6
	// maxLateShare of the first tokens may be late.
	maxLateShare = 0.1
	// reportTTL is how long the excess in a load report counts.
	reportTTL = 5 * time.Second
)

// limit adapts the tokens in flight that one server is given: additive increase
// while it is busy and on target, multiplicative decrease while it is not. It
// doesn't shrink below what keeps the server's yield: then less in flight would
// cost throughput and win little time.
type limit struct {
	initial float64
	current float64
	// streams bounds the requests at once, which the time between tokens grows
	// with; 0 is no bound.
	initialStreams, streams float64
	// bestEfficiency is the highest yield seen lately.
	bestEfficiency float64
	// pastFirstTarget of firstTokens came later than the target in this window.
	lateFirstTokens, firstTokens int
	lastReport                   time.Time
	// foreign tokens in flight come from others than this coordinator.
	foreign int
	// peak is the highest number of own tokens in flight since a report
	// lifetime ago.
	peak   int
	peakAt time.Time
}

// newLimit returns the first limit of a server; no streams are no bound.
func newLimit(tokens int, streams float64) limit {
	if streams > 0 {
		streams = max(streams, 1)
	}
	return limit{initial: float64(tokens), current: float64(tokens), initialStreams: streams, streams: streams}
}

// requests returns how many requests may run at once.
func (l *limit) requests() int {
	if l.streams == 0 {
		return math.MaxInt
	}
	return max(1, int(math.Round(l.streams)))
}

// tokens returns the limit less the foreign tokens.
func (l *limit) tokens(foreign int) int {
	minimum := l.initial * minLimitShare
	return int(max(l.current-float64(foreign), minimum))
}

// foreignAt returns the foreign tokens, which fade with the report's age.
func (l *limit) foreignAt(now time.Time) int {
	if l.foreign == 0 {
		return 0
	}
	age := now.Sub(l.lastReport)
	if age >= reportTTL {
		return 0
	}
	return int(float64(l.foreign) * float64(reportTTL-age) / float64(reportTTL))
}

// observe moves the limit after a window of work. gap is the time between tokens
// relative to its target. yield is the work done in the window, in seconds that
// it should take on the hardware, for each second in which anything ran.
func (l *limit) observe(gap, efficiency float64, used, streams int) {
	late := float64(l.lateFirstTokens) > maxLateShare*float64(l.firstTokens)
	l.lateFirstTokens, l.firstTokens = 0, 0
	l.bestEfficiency = max(l.bestEfficiency*(1-bestEfficiencyDecay), efficiency)
	slowed := efficiency < minEfficiencyShare*l.bestEfficiency
	if (gap > 1 || late) && !slowed {
		l.decrease(1 / gap)
		return
	}
	if float64(used) >= busyShare*l.current {
		l.current = min(l.current+l.initial*increaseShare, l.initial*maxLimitShare)
	}
	if float64(streams) >= busyShare*l.streams {
		l.streams = min(l.streams+l.initialStreams*increaseShare, l.initialStreams*maxLimitShare)
	}
}

// decrease shrinks the limit by a factor, which is bounded.
func (l *limit) decrease(factor float64) {
	factor = min(max(factor, minDecreaseFactor), decreaseFactor)
	l.current = max(l.current*factor, l.initial*minLimitShare)
	l.streams = max(l.streams*factor, l.initialStreams*minLimitShare)
}

// trackPeak notes the own tokens in flight. A report that lags is compared with
// their peak, not with what is in flight when it arrives.
func (l *limit) trackPeak(now time.Time, used int) {
	if used >= l.peak || now.Sub(l.peakAt) > reportTTL {
		l.peak, l.peakAt = used, now
	}
}

// report corrects the limit by what the server says of itself.
func (l *limit) report(now time.Time, r LoadReport) {
	l.lastReport = now
	l.foreign = max(0, r.TokensInFlight-l.peak)
	if r.Waiting > 0 && r.Waiting >= r.Running {
		l.decrease(decreaseFactor)
	}
}
