package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mimosafront/internal/member"
	"mimosafront/internal/settings"
)

// TestPartsOfServersAddUp checks that the parts of the sides of a cut are the whole, and that
// hosts of one zone have parts of about the same size over several servers.
func TestPartsOfServersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, allowed, servers = 5.2, 12, 50
		sides := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "sides")
		var hosts []string
		for i := range sides {
			for k := range sides[i] {
				hosts = append(hosts, fmt.Sprintf("a%d-%d", i, k))
			}
		}
		slices.Sort(hosts)
		sums := make([]int, servers)
		for i, size := range sides {
			s := New(Config{Host: "a", Scheduler: settings.Scheduler{ColdRateFactor: 1.5, ColdSlackRequests: 5}})
			s.contact.Known = hosts
			for k := range size {
				s.contact.InTouch = append(s.contact.InTouch, fmt.Sprintf("a%d-%d", i, k))
			}
			own := 0
			for n := range servers {
				part := s.serverPart(fmt.Sprint("s", n), rate)
				if part.All != allowed {
					t.Fatalf("part of %d requests, want %d", part.All, allowed)
				}
				sums[n] += part.Own
				own += part.Own
			}
			fair := float64(allowed*servers*size) / float64(len(hosts))
			if float64(own) < 0.5*fair || float64(own) > 1.5*fair+10 {
				t.Errorf("%d of %d hosts have %d requests, %.0f would be fair", size, len(hosts), own, fair)
			}
		}
		for n, sum := range sums {
			if sum != allowed {
				t.Errorf("server %d: the sides have %d requests of %d", n, sum, allowed)
			}
		}
	})
}

// TestWholeZoneHasTheWholeBound checks that nothing is divided while all hosts are in touch.
func TestWholeZoneHasTheWholeBound(t *testing.T) {
	s := New(Config{Host: "a1"})
	hosts := []string{"a1", "a2"}
	s.contact = member.Contact{Known: hosts, InTouch: hosts}
	if part := s.serverPart("s", 5.2); part.Own != part.All {
		t.Errorf("part %+v, want the whole", part)
	}
	s.contact.InTouch = hosts[:1]
	if part := s.serverPart("s", 0); part.Own != part.All {
		t.Errorf("part %+v of a server without a bound, want the whole", part)
	}
}
