package control

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/memnet"
)

// TestMoreHostsJoinThanSeedsMayLink guards against hosts that stay alone for good because
// the seeds have no link left for them: every host of a large fleet starts with the same
// few seeds.
func TestMoreHostsJoinThanSeedsMayLink(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		const zones, perZone = 6, 4
		var hosts []*fleetHost
		var seeds []string
		for i := range zones * perZone {
			name := fmt.Sprintf("%c%d", 'a'+i%zones, i/zones)
			// Relays keep links to three hosts of their zone and ten of other zones.
			h := startHostWithIntervals(t, n, name, seeds, tally.NoopScope, "heartbeat_ms = 50\nsuspect_ms = 400\ndead_ms = 900\nmax_links = 15\n")
			if i == 0 {
				seeds = append(seeds, h.links.Address())
			}
			hosts = append(hosts, h)
		}
		eventually(t, "each host knows all others", func() bool {
			for _, h := range hosts {
				if len(*h.loop.hosts.Load()) < len(hosts) {
					return false
				}
			}
			return true
		})
	})
}
