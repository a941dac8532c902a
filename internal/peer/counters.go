package peer

import (
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/message"
)

// counters holds the metrics of the links.
type counters struct {
	scope                                        tally.Scope
	malformedFrames, rejectedHellos              tally.Counter
	silentLinks, failedDials                     tally.Counter
	sentFrames, sentBytes                        map[message.Kind]tally.Counter
	receivedFrames, receivedBytes, droppedFrames map[message.Kind]tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		scope:           scope,
		malformedFrames: scope.Counter("peer_malformed_frames"),
		rejectedHellos:  scope.Counter("peer_rejected_hellos"),
		silentLinks:     scope.Counter("peer_silent_links"),
		failedDials:     scope.Counter("peer_failed_dials"),
	}
	byKind := func(name string) map[message.Kind]tally.Counter {
		m := map[message.Kind]tally.Counter{}
		for _, kind := range message.Kinds() {
			m[kind] = scope.Tagged(map[string]string{"kind": string(kind)}).Counter(name)
		}
		return m
	}
	c.sentFrames, c.sentBytes = byKind("peer_sent_frames"), byKind("peer_sent_bytes")
	c.receivedFrames, c.receivedBytes = byKind("peer_received_frames"), byKind("peer_received_bytes")
	c.droppedFrames = byKind("peer_dropped_frames")
	return c
}

func (c *counters) malformed()  { c.malformedFrames.Inc(1) }
func (c *counters) rejected()   { c.rejectedHellos.Inc(1) }
func (c *counters) silent()     { c.silentLinks.Inc(1) }
func (c *counters) dialFailed() { c.failedDials.Inc(1) }

func (c *counters) dropped(kind message.Kind) { c.droppedFrames[kind].Inc(1) }

func (c *counters) sent(kind message.Kind, bytes int) {
	c.sentFrames[kind].Inc(1)
	c.sentBytes[kind].Inc(int64(bytes))
}

func (c *counters) received(kind message.Kind, bytes int) {
	c.receivedFrames[kind].Inc(1)
	c.receivedBytes[kind].Inc(int64(bytes))
}
