package member

import (
	"fmt"
	"testing"

	"mimosafront/internal/message"
)

// Only hosts with at least minCapacityShare of the largest capacity coordinate pools;
// hosts of equal capacity all do.
func TestSmallHostsCoordinateNothing(t *testing.T) {
	hosts := []string{"e1", "e2", "e3", "e4"}
	v := newView(View{
		Zones: map[string][]string{"a": hosts}, Weights: map[string]float64{"e1": 0.8, "e2": 0.192, "e3": 0.4, "e4": 0.2},
	})
	uniform := newView(View{Zones: map[string][]string{"a": hosts}, Weights: map[string]float64{}})
	owners, uniformOwners := map[string]bool{}, map[string]bool{}
	for i := range 100 {
		pool := message.Pool{Zone: "a", Target: fmt.Sprint("model-", i)}
		owners[v.Owner(pool)] = true
		uniformOwners[uniform.Owner(pool)] = true
	}
	if len(owners) != 2 || !owners["e1"] || !owners["e3"] {
		t.Errorf("coordinators %v, want e1 and e3", owners)
	}
	if len(uniformOwners) != 4 {
		t.Errorf("coordinators %v, want all four hosts of equal capacity", uniformOwners)
	}
}
