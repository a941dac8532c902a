package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/heaptest"
	"mimosafront/internal/memnet"
	"mimosafront/internal/settings"
)

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
				before := heaptest.InUse()
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
				if held := heaptest.InUse() - before; held > heaptest.Limit {
					t.Errorf("%d bytes are held, want at most %d", held, heaptest.Limit)
				}
			})
		})
	}
}
