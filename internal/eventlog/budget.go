package eventlog

import "time"

const (
	// burstDuration is the part of the bound that may be written at once: the
	// interval at which folded refusals are written.
	burstDuration = foldInterval
	// reservedFraction of the burst must be left for a step of a request, and for a
	// refusal to be written by itself.
	reservedFraction = 0.5
)

// byteBucket bounds the bytes written a second. It reads no clock.
//
// Invariant: in any time t at most t x rate + 2 x burst bytes are spent.
type byteBucket struct {
	rate       float64
	burst      float64
	available  float64
	refilledAt time.Time
}

func newByteBucket(now time.Time, bytesPerSecond int) *byteBucket {
	burst := float64(bytesPerSecond) * burstDuration.Seconds()
	return &byteBucket{rate: float64(bytesPerSecond), burst: burst, available: burst, refilledAt: now}
}

// refill adds what the time since the last call allows.
func (b *byteBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(b.burst, b.available+elapsed.Seconds()*b.rate)
		b.refilledAt = now
	}
}

// aboveReserve reports whether enough is left for lines that may be dropped or folded.
func (b *byteBucket) aboveReserve() bool { return b.available >= reservedFraction*b.burst }

// spend takes the bytes of a line of a class and reports whether it may be
// written. Steps keep to their share; state and ends may overdraw by one burst.
func (b *byteBucket) spend(c Class, size int) bool {
	minAvailable := -b.burst
	if c == ClassDecision {
		minAvailable = reservedFraction * b.burst
	}
	if b.available-float64(size) < minAvailable {
		return false
	}
	b.available -= float64(size)
	return true
}
