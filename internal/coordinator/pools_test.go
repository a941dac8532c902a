package coordinator

import (
	"testing"

	"mimosafront/internal/policy"
)

// Servers of plain services are granted more requests than they run at once, so that
// they have work while answers travel. Engines, which separate tiers, get no surplus.
func TestServicesGetMoreThanMaxRequests(t *testing.T) {
	s := newState(t, "e1", "lisbon-a")
	service := ""
	for name := range s.policy.Services {
		service = name
	}
	for _, c := range []struct {
		target            string
		overlap           float64
		maxRequests, want int
	}{
		{service, 0, 6, 6}, {service, 0.5, 6, 9}, {service, 0.5, 1, 2}, {service, 0.5, 0, 2}, {pool.Target, 0.5, 6, 6},
	} {
		s.config.Scheduler.ServiceOverlap = c.overlap
		if got := s.concurrentRequests(c.target, policy.Server{MaxRequests: c.maxRequests}); got != c.want {
			t.Errorf("%s with max_requests %d and an overlap of %g: %d, want %d", c.target, c.maxRequests, c.overlap, got, c.want)
		}
	}
}
