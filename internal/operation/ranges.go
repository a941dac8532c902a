package operation

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// keyRangeCount is the number of ranges that idempotency keys are spread over. All
// hosts must agree on it.
const keyRangeCount = 256

// rangeOf returns the range of a key's id.
func rangeOf(id string) int { return int(xxhash.Sum64String(id) % keyRangeCount) }

// homeZone returns the availability zone that keeps a range. It depends on the
// policy alone, so that all parts of a split fleet choose the same zone. An
// empty list of zones has an empty home zone.
func homeZone(keyRange int, zones []string) string {
	return rendezvousPick("zone", keyRange, zones)
}

// rangeKeeper returns the host among those of the home zone that keeps a range, or
// an empty string if there is none.
func rangeKeeper(keyRange int, hosts []string) string {
	return rendezvousPick("host", keyRange, hosts)
}

func rendezvousPick(purpose string, keyRange int, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	return rendezvous.New(candidates, xxhash.Sum64String).Lookup(purpose + "/" + strconv.Itoa(keyRange))
}
