package peer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coder/websocket"

	"mimosafront/internal/memnet"
	"mimosafront/internal/settings"

	"github.com/uber-go/tally/v4"
)

// heapLimit is a third of the memory of the smallest hosts that the project is made for,
// which have 184 MB.
const heapLimit = 184 << 20 / 3

// heapInUse returns the size of the live heap, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestUnfinishedMessagesShareBoundedMemory guards against a host that runs out of memory
// because others send large messages without their ends, on links and before the hello.
func TestUnfinishedMessagesShareBoundedMemory(t *testing.T) {
	const senders = 100
	part := make([]byte, 2<<20-4<<10)
	for _, name := range []string{"on links", "before the hello"} {
		t.Run(name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				x := &testLinks{recorder: &recorder{failed: map[string]bool{}}, metrics: tally.NewTestScope("", nil)}
				host := startHostWith(t, n, x, settings.Peer{
					Listen: "127.0.0.1:0", Insecure: true, HeartbeatMs: 100, SuspectMs: 400, DeadMs: 10_000, MaxFrameBytes: 2 << 20, MaxLinks: 256,
				}, "one")
				var conns []*websocket.Conn
				for i := range senders {
					if name == "on links" {
						conns = append(conns, rawLinkFrom(t, n, host, websocket.CompressionDisabled, fmt.Sprintf("raw-%d", i)))
					} else {
						conns = append(conns, rawConn(t, n, host, websocket.CompressionDisabled))
					}
				}
				before := heapInUse()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				for _, conn := range conns {
					go func() {
						w, err := conn.Writer(ctx, websocket.MessageBinary)
						if err == nil {
							_, _ = w.Write(part)
						}
					}()
				}
				time.Sleep(500 * time.Millisecond)
				if held := heapInUse() - before; held > heapLimit {
					t.Errorf("%d bytes are held, want at most %d", held, heapLimit)
				}
			})
		})
	}
}
