package eventlog

import "time"

const (
	// burstTime is the part of the bound that may be written at once: the
	// interval at which folded refusals are written.
	burstTime = foldInterval
	// decisionShare of the burst must be left for a step of a request, and for a
	// refusal to be written by itself.
	decisionShare = 0.5
)

// budget bounds the bytes written a second. It reads no clock.
//
// Invariant: in any time t at most t x rate + 2 x burst bytes are spent.
type budget struct {
	rate   float64
	burst  float64
	left   float64
	filled time.Time
}

func newBudget(now time.Time, bytesPerSecond int) *budget {
	burst := float64(bytesPerSecond) * burstTime.Seconds()
	return &budget{rate: float64(bytesPerSecond), burst: burst, left: burst, filled: now}
}

// fill adds what the time since the last call allows.
func (b *budget) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.left = min(b.burst, b.left+elapsed.Seconds()*b.rate)
		b.filled = now
	}
}

// relaxed reports whether enough is left for lines that may be dropped or folded.
func (b *budget) relaxed() bool { return b.left >= decisionShare*b.burst }

// spend takes the bytes of a line of a class and reports whether it may be
// written. Steps keep to their share; state and ends may overdraw by one burst.
func (b *budget) spend(c Class, size int) bool {
	least := -b.burst
	if c == ClassDecision {
		least = decisionShare * b.burst
	}
	if b.left-float64(size) < least {
		return false
	}
	b.left -= float64(size)
	return true
}
