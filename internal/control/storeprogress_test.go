package control

import (
	"slices"
	"testing"
	"time"

	"mimosafront/internal/discovery"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
)

// readers returns the hosts that read the store for their zone.
func readers(hosts []*fleetHost) []string {
	var names []string
	for _, h := range hosts {
		if h.loop.config.StoreReports.Role() == discovery.RoleReader {
			names = append(names, h.name)
		}
	}
	return names
}

// TestRelaysReadTheStoreForTheirZone checks that two hosts of a zone report to the
// others how far they have read the store, and that others take their place.
func TestRelaysReadTheStoreForTheirZone(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "a3", "a4", "a5", "a6", "a7", "b1", "b2")
		zone := hosts[:7]
		eventually(t, "two hosts read the store", func() bool { return len(readers(zone)) == 2 })
		chosen := readers(zone)
		if slices.Contains(chosen, "b1") || hosts[7].loop.config.StoreReports.Role() != discovery.RoleAlone {
			t.Errorf("readers %v; a zone of two hosts needs none", chosen)
		}
		for _, h := range hosts {
			h.loop.StoreRead(discovery.Progress{Changed: 3, Read: 8, AnsweredAt: time.Now()})
		}
		time.Sleep(100 * time.Millisecond)
		for _, h := range zone {
			p, ok := h.loop.config.StoreReports.Covered(time.Now(), 0, 3)
			if want := !slices.Contains(chosen, h.name); ok != want || ok && p.Read != 8 {
				t.Errorf("host %s: covered %t up to %d, want %t up to 8", h.name, ok, p.Read, want)
			}
		}
		for _, h := range zone {
			if slices.Contains(chosen, h.name) {
				h.kill()
			}
		}
		rest := slices.DeleteFunc(slices.Clone(zone), func(h *fleetHost) bool { return slices.Contains(chosen, h.name) })
		// Five hosts are left: each reads for itself.
		eventually(t, "each host reads the store", func() bool {
			return !slices.ContainsFunc(rest, func(h *fleetHost) bool {
				return h.loop.config.StoreReports.Role() != discovery.RoleAlone
			})
		})
	})
}

// TestImpossibleStoreProgressIsIgnored checks that a report which no reader can mean
// stops no host from reading the store.
func TestImpossibleStoreProgressIsIgnored(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		hosts := startFleet(t, n, "a1", "a2", "b1")
		eventually(t, "the hosts know each other", func() bool {
			return len(*hosts[0].loop.hosts.Load()) == 3
		})
		reports := hosts[0].loop.config.StoreReports
		for name, c := range map[string]struct {
			from string
			p    message.StoreProgress
		}{
			"from the future":    {"a2", message.StoreProgress{Changed: 1, Read: 2, AgeMs: -50}},
			"older than a day":   {"a2", message.StoreProgress{Changed: 1, Read: 2, AgeMs: 1 << 40}},
			"changed after read": {"a2", message.StoreProgress{Changed: 3, Read: 2}},
			"negative epoch":     {"a2", message.StoreProgress{Epoch: -1, Changed: 1, Read: 2}},
			"from another zone":  {"b1", message.StoreProgress{Changed: 1, Read: 2}},
			"from nobody":        {"zz", message.StoreProgress{Changed: 1, Read: 2}},
		} {
			hosts[0].loop.Frame(c.from, &message.Frame{StoreProgress: &c.p})
			time.Sleep(50 * time.Millisecond)
			reports.SetRole(discovery.RoleFollower)
			if _, ok := reports.Covered(time.Now(), 0, 10); ok {
				t.Errorf("%s: the report was taken", name)
			}
		}
	})
}
