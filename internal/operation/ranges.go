package operation

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// keyRanges is the number of ranges that idempotency keys are spread over. All
// hosts must agree on it.
const keyRanges = 256

// rangeOf returns the range of a key's id.
func rangeOf(id string) int { return int(xxhash.Sum64String(id) % keyRanges) }

// homeZone returns the availability zone that keeps a range. It depends on the
// policy alone, so that all parts of a split fleet choose the same zone. An
// empty list of zones has an empty home zone.
func homeZone(keyRange int, zones []string) string {
	return pick("zone", keyRange, zones)
}

// keeperOf returns the host among those of the home zone that keeps a range, or
// an empty string if there is none.
func keeperOf(keyRange int, hosts []string) string {
	return pick("host", keyRange, hosts)
}

func pick(use string, keyRange int, from []string) string {
	if len(from) == 0 {
		return ""
	}
	return rendezvous.New(from, xxhash.Sum64String).Lookup(use + "/" + strconv.Itoa(keyRange))
}
