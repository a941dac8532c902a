package sched

import (
	"math"
	"time"
)

const (
	// decreaseFactor is the multiplicative decrease of a limit, and minDecreaseFactor
	// that of a limit far off its target.
	decreaseFactor    = 0.9
	minDecreaseFactor = 0.5
	// increaseShare of the initial limit is added at each increase.
	increaseShare = 0.05
	// minLimitShare and maxLimitShare bound the limit relative to its initial value.
	minLimitShare = 0.125
	maxLimitShare = 4.0
	// busyShare of the limit must be in use for it to grow.
	busyShare = 0.8
	// minEfficiencyShare of the best efficiency must be reached for the limit to shrink.
	minEfficiencyShare = 0.9
	// bestEfficiencyDecay is the fraction by which the best efficiency decays per window.
	bestEfficiencyDecay = 0.005
	// firstTokenShare of the first-token target is allotted to the server; the rest is
	// for the wait before the grant.
	firstTokenShare = 0.5
	// initialStreamShare of the gap target is the time for one token of each stream of
	// a new server; the rest of a step is for prefill.
	initialStreamShare = 0.4
	// targetGapShare of the gap target is the desired mean time between tokens, so that
	// most individual gaps meet the target.
	targetGapShare = 0.6
	// maxLateShare of the first tokens may be late.
	maxLateShare = 0.1
	// reportTTL is how long the foreign tokens of a load report count.
	reportTTL = 5 * time.Second
)

// limit adapts the tokens in flight of one server by AIMD (additive increase,
// multiplicative decrease): it grows while the server is busy and on target, and shrinks
// while it is off target. It doesn't shrink when the server's efficiency has already
// dropped: fewer tokens in flight would then cost throughput and save little time.
type limit struct {
	initial float64
	current float64
	// streams limits the concurrent requests, because the time between tokens grows
	// with their number; 0 means no limit.
	initialStreams, streams float64
	// bestEfficiency is the highest recent efficiency.
	bestEfficiency float64
	// lateFirstTokens of firstTokens came later than the target in this window.
	lateFirstTokens, firstTokens int
	lastReport                   time.Time
	// foreign is the number of tokens in flight granted by other coordinators.
	foreign int
	// peak is the highest number of own tokens in flight within the last reportTTL.
	peak   int
	peakAt time.Time
}

// newLimit returns the initial limit of a server; 0 streams means no stream limit.
func newLimit(tokens int, streams float64) limit {
	if streams > 0 {
		streams = max(streams, 1)
	}
	return limit{initial: float64(tokens), current: float64(tokens), initialStreams: streams, streams: streams}
}

// requests returns how many requests may run concurrently.
func (l *limit) requests() int {
	if l.streams == 0 {
		return math.MaxInt
	}
	return max(1, int(math.Round(l.streams)))
}

// tokens returns the limit minus the foreign tokens.
func (l *limit) tokens(foreign int) int {
	minimum := l.initial * minLimitShare
	return int(max(l.current-float64(foreign), minimum))
}

// foreignAt returns the foreign tokens, which decay linearly with the report's age.
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

// observe adjusts the limit after a window of work. gap is the time between tokens
// relative to its target. efficiency is the time that the window's work should take on
// the hardware, divided by the time in which the server was busy. used and streams are the
// maxima of tokens in flight and of concurrent requests in the window.
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

// decrease shrinks the limit by a factor, which is clamped.
func (l *limit) decrease(factor float64) {
	factor = min(max(factor, minDecreaseFactor), decreaseFactor)
	l.current = max(l.current*factor, l.initial*minLimitShare)
	l.streams = max(l.streams*factor, l.initialStreams*minLimitShare)
}

// trackPeak records the own tokens in flight. A report lags behind, so it is compared
// with their peak instead of their current number.
func (l *limit) trackPeak(now time.Time, used int) {
	if used >= l.peak || now.Sub(l.peakAt) > reportTTL {
		l.peak, l.peakAt = used, now
	}
}

// report corrects the limit by a server's load report.
func (l *limit) report(now time.Time, r LoadReport) {
	l.lastReport = now
	l.foreign = max(0, r.TokensInFlight-l.peak)
	if r.Waiting > 0 && r.Waiting >= r.Running {
		l.decrease(decreaseFactor)
	}
}
