package coordinator

import (
	"testing"
	"time"

	"mimosafront/internal/message"
)

// TestRateLimitHoldsOverTargets guards against an organisation that gets its whole rate limit
// at each of the models and services to which it sends.
func TestRateLimitHoldsOverTargets(t *testing.T) {
	for _, floodAt := range []time.Duration{time.Second, 12 * time.Second} {
		f := cutFlood{zones: 3}.fleet(t)
		for _, z := range f.zones[:3] {
			other := &floodZone{pool: message.Pool{Zone: z.pool.Zone, Target: "registry"}}
			other.restart(start, f.policy)
			f.zones = append(f.zones, other)
		}
		f.setSiblings(start)
		for passed := time.Duration(0); passed < cutFloodLength; passed += askInterval {
			now := start.Add(passed)
			f.deliver(now)
			asks := 0
			if passed >= floodAt {
				asks = 2
			}
			f.flood(now, int(passed/askInterval), asks)
			for _, z := range f.zones {
				f.handleOutput(now, z)
			}
		}
		f.judge(t)
	}
}
