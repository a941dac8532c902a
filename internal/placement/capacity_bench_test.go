package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTickBySize measures a Tick with 28 models and two zones that have the
// given number of servers each.
func BenchmarkTickBySize(b *testing.B) {
	for _, servers := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			in := idleServers(testPolicy(b, servers, 28, 60))
			s := NewState(testConfig)
			now := epoch
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				s.Tick(now, in)
			}
		})
	}
}
