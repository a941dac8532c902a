package eventlog

import "time"

const (
	// burstDuration times the rate is the capacity of the token bucket. It equals the
	// interval at which folded refusals are written.
	burstDuration = foldInterval
	// reservedFraction of the capacity is reserved for state and end lines. Below it,
	// steps of requests are dropped and refusals are folded.
	reservedFraction = 0.5
)

// byteBucket is a token bucket that limits the bytes written per second. Important
// lines may go into debt of up to one burst. The caller supplies the time.
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

// refill adds the bytes accrued since the last call, up to the burst.
func (b *byteBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(b.burst, b.available+elapsed.Seconds()*b.rate)
		b.refilledAt = now
	}
}

// aboveReserve reports whether the available bytes are not below the reserve, so that
// decision lines and single refusals may be written.
func (b *byteBucket) aboveReserve() bool { return b.available >= reservedFraction*b.burst }

// spend takes size bytes for a line of class c and reports whether the line may be
// written. Decision lines must leave the reserve; state and end lines may go one
// burst into debt.
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
