// Package evacuation keeps which availability zones are evacuated: their backend servers
// get no requests until the platform's operator takes the zone back.
//
// A host learns it from the platform's store and from other hosts. What it hears of a zone
// is ordered by the state of the store as of which it holds, so that news that arrives late
// neither brings an evacuation back nor ends one.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"mimosafront/internal/message"
)

// maxZones bounds the zones in a Table, against entries of a faulty host. Deployments have
// a few.
const maxZones = 256

// Order says as of which state of the store a statement holds.
type Order struct {
	// Epoch of the store, in which revisions are given out anew.
	Epoch int64
	// Revision of the store in that epoch.
	Revision int64
}

// Compare returns a negative number if o is earlier than other, a positive one if it is
// later, and otherwise 0.
func (o Order) Compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Epoch, other.Epoch), cmp.Compare(o.Revision, other.Revision))
}

// OrderOf returns the order of an entry.
func OrderOf(e message.Evacuation) Order { return Order{Epoch: e.Epoch, Revision: int64(e.Revision)} }

// statement is what is known of one zone.
type statement struct {
	order     Order
	evacuated bool
}

// newerThan reports whether the statement counts in place of a known one. Of two
// contradictory ones as of the same state of the store, an evacuation counts.
func (s statement) newerThan(known statement) bool {
	if c := s.order.Compare(known.order); c != 0 {
		return c > 0
	}
	return s.evacuated && !known.evacuated
}

func (s statement) entry(zone string) message.Evacuation {
	return message.Evacuation{Zone: zone, Epoch: s.order.Epoch, Revision: int(s.order.Revision), Evacuated: s.evacuated}
}

// Table holds what is known of the zones. It keeps the zones that were taken back, so that
// it recognises old news of them. It is safe for concurrent use: traffic goroutines read it
// before each dispatch.
type Table struct {
	mu    sync.RWMutex
	zones map[string]statement
	// read is the state of the store up to which this host has read all zones.
	read Order
}

// New returns an empty Table.
func New() *Table { return &Table{zones: map[string]statement{}} }

// Read records that the store was read, in which exactly the given zones are evacuated. It
// returns the zones whose state has changed by that. A read of an earlier state of the
// store than one before changes nothing.
func (t *Table) Read(evacuated []string, at Order) []message.Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Compare(t.read) < 0 {
		return nil
	}
	t.read = at
	known := slices.Collect(maps.Keys(t.zones))
	var changed []message.Evacuation
	for _, zone := range slices.Compact(slices.Sorted(slices.Values(append(known, evacuated...)))) {
		before := t.zones[zone].evacuated
		s := statement{order: at, evacuated: slices.Contains(evacuated, zone)}
		if t.set(zone, s) && s.evacuated != before {
			changed = append(changed, s.entry(zone))
		}
	}
	return changed
}

// Merge records what another host has shared and returns the entries that are news.
func (t *Table) Merge(entries []message.Evacuation) []message.Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []message.Evacuation
	for _, e := range entries {
		s := statement{order: OrderOf(e), evacuated: e.Evacuated}
		// What the store said up to the state that was read is known.
		if s.order.Compare(t.read) > 0 && t.set(e.Zone, s) {
			news = append(news, e)
		}
	}
	return news
}

// set records a statement unless a newer one is known, and reports whether it did. The
// caller holds mu.
func (t *Table) set(zone string, s statement) bool {
	known, ok := t.zones[zone]
	if ok && !s.newerThan(known) || !ok && len(t.zones) >= maxZones {
		return false
	}
	t.zones[zone] = s
	return true
}

// Has reports whether a zone is evacuated.
func (t *Table) Has(zone string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.zones[zone].evacuated
}

// Zones returns the evacuated zones.
func (t *Table) Zones() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	zones := map[string]bool{}
	for zone, s := range t.zones {
		if s.evacuated {
			zones[zone] = true
		}
	}
	return zones
}

// Entry returns what is known of a zone.
func (t *Table) Entry(zone string) message.Evacuation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.zones[zone].entry(zone)
}

// Entries returns what is known of all zones, to be sent to a host that may lack it,
// ordered by zone.
func (t *Table) Entries() []message.Evacuation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var entries []message.Evacuation
	for _, zone := range slices.Sorted(maps.Keys(t.zones)) {
		entries = append(entries, t.zones[zone].entry(zone))
	}
	return entries
}
