package operation

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// keyRangeCount is the number of ranges that idempotency keys are partitioned
// into. It must be the same on all hosts.
const keyRangeCount = 256

// rangeOf returns the range of a key ID.
func rangeOf(id string) int { return int(xxhash.Sum64String(id) % keyRangeCount) }

// homeZone returns the availability zone that keeps a range, or an empty string
// if there are no zones. It depends on the policy alone, so that all sides of a
// network partition choose the same zone.
func homeZone(keyRange int, zones []string) string {
	return rendezvousPick("zone", keyRange, zones)
}

// rangeKeeper returns the keeper of a range among the hosts of its home zone, or
// an empty string if there are none.
func rangeKeeper(keyRange int, hosts []string) string {
	return rendezvousPick("host", keyRange, hosts)
}

// rendezvousPick selects one of the candidates by rendezvous hashing, or returns
// an empty string if there are none.
func rendezvousPick(purpose string, keyRange int, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	return rendezvous.New(candidates, xxhash.Sum64String).Lookup(purpose + "/" + strconv.Itoa(keyRange))
}
