package discovery

import (
	"maps"
	"slices"
	"time"
)

// lostEvacuationTime is how long an evacuation that the store lost by returning from an
// earlier copy is kept, for the operator to write it again. It is bounded, because an
// operator that doesn't want the evacuation any more can't remove what the store lacks.
const lostEvacuationTime = 30 * time.Second

// evacuatedZones are the evacuated availability zones. It answers the fault that the store
// returns from a copy that lacks an evacuation in force. Times are arguments.
type evacuatedZones struct {
	// published are the zones in the store, ordered by name.
	published []string
	// lost maps zones that the store lost to the time until which they are kept.
	lost map[string]time.Time
}

// list returns all zones, ordered by name.
func (e *evacuatedZones) list() []string {
	zones := slices.AppendSeq(slices.Clone(e.published), maps.Keys(e.lost))
	slices.Sort(zones)
	return slices.Compact(zones)
}

// replace replaces the published zones. If the store has returned from a copy, it keeps
// those that the copy lacks and returns their names.
func (e *evacuatedZones) replace(now time.Time, published []string, returned bool) (lost []string) {
	if returned {
		for _, zone := range e.list() {
			if !slices.Contains(published, zone) {
				lost = append(lost, zone)
			}
		}
	}
	if e.lost == nil {
		e.lost = map[string]time.Time{}
	}
	for _, zone := range lost {
		e.lost[zone] = now.Add(lostEvacuationTime)
	}
	e.published = slices.Clone(published)
	return lost
}

// apply applies a change of a zone, which also settles whether a lost evacuation holds.
func (e *evacuatedZones) apply(c Change) {
	delete(e.lost, c.Zone)
	i, found := slices.BinarySearch(e.published, c.Zone)
	switch {
	case c.Evacuated && !found:
		e.published = slices.Insert(e.published, i, c.Zone)
	case !c.Evacuated && found:
		e.published = slices.Delete(e.published, i, i+1)
	}
}

// expire gives up the lost evacuations whose time has passed and reports whether there
// were any.
func (e *evacuatedZones) expire(now time.Time) bool {
	before := len(e.lost)
	maps.DeleteFunc(e.lost, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(e.lost) < before
}

// nextExpiry returns when expire next gives up an evacuation; ok is false if it won't.
func (e *evacuatedZones) nextExpiry() (next time.Time, ok bool) {
	for _, until := range e.lost {
		if !ok || until.Before(next) {
			next, ok = until, true
		}
	}
	return next, ok
}
