package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// targetFlood plays a flood of one organisation to a number of models in three zones, each with
// a coordinator of its own, and judges it.
func targetFlood(t *testing.T, targets int, floodAt time.Duration) {
	zones := []string{"lisbon-a", "lisbon-b", "lisbon-c"}
	text := limitedPolicyText(t, largeRate, largeBurst)
	for m := 1; m < targets; m++ {
		text += fmt.Sprintf("\n[model m%d]\ncontext_tokens = 32768\noutput_tokens = 256\n", m)
		for _, zone := range zones {
			text += fmt.Sprintf("[server %[2]s-m%[1]d]\nzone = %[2]s\naddress = 10.9.%[1]d.1:80\nkind = engine\nmodels = m%[1]d\n", m, zone)
		}
	}
	f := &multiZoneFlood{policy: parsePolicy(t, text), digestDelay: digestTravel}
	for m := range targets {
		for _, zone := range zones {
			z := &floodZone{pool: message.Pool{Zone: zone, Target: pool.Target}}
			if m > 0 {
				z.pool.Target = fmt.Sprint("m", m)
			}
			z.restart(start, f.policy)
			f.zones = append(f.zones, z)
		}
	}
	f.setSiblings(start)
	for passed := time.Duration(0); passed < cutFloodLength; passed += askInterval {
		now := start.Add(passed)
		f.deliver(now)
		asks := 0
		if passed >= floodAt {
			asks = 1
		}
		f.flood(now, int(passed/askInterval), asks)
		for _, z := range f.zones {
			f.handleOutput(now, z)
		}
	}
	f.judge(t)
}

// TestRateLimitHoldsOverTargets guards against an organisation that gets its whole rate limit
// at each of the models and services to which it sends, from a restart on or after a calm time.
func TestRateLimitHoldsOverTargets(t *testing.T) {
	for _, targets := range []int{2, 8} {
		for _, floodAt := range []time.Duration{0, 12 * time.Second} {
			t.Run(fmt.Sprintf("%d targets, flood at %s", targets, floodAt), func(t *testing.T) { targetFlood(t, targets, floodAt) })
		}
	}
}

// TestRateLimitHoldsOverManyTargets guards against the sum of what the coordinators of many
// targets grant before they hear of each other.
func TestRateLimitHoldsOverManyTargets(t *testing.T) { targetFlood(t, 28, 12*time.Second) }
