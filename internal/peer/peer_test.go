package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// recorder is a Handler that records all events and frames.
type recorder struct {
	mu sync.Mutex
	up []message.Hello
	// failed has the hosts of LinkFailed, with the value of refused.
	failed map[string]bool
	frames []*message.Frame
	// delay is how long the handling of the next frame takes.
	delay time.Duration
}

// delayNext makes the handling of the next frame take d.
func (r *recorder) delayNext(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *recorder) takeDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.delay
	r.delay = 0
	return d
}

func (r *recorder) LinkUp(h message.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = append(r.up, h)
}

func (r *recorder) LinkFailed(host string, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[host] = refused
}

func (r *recorder) Frame(_ string, f *message.Frame) {
	time.Sleep(r.takeDelay())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
}

func (r *recorder) linkUps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.up)
}

func (r *recorder) received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.frames)
}

func (r *recorder) refused(host string) (refused, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, failed = r.failed[host]
	return refused, failed
}

// testLinks are the running links of a test host.
type testLinks struct {
	*Links
	*recorder
	metrics          tally.TestScope
	certificate, key string
	stop             func()
}

// startHost runs the links of a host until the test ends. With a nil authority, the links
// are insecure.
func startHost(t *testing.T, n *memnet.Network, a *authority, name string) *testLinks {
	t.Helper()
	s := settings.Peer{
		Listen: "127.0.0.1:0", Insecure: a == nil, HeartbeatMs: 100, SuspectMs: 400, DeadMs: 1000,
		MaxFrameBytes: 1 << 16, MaxLinks: 16,
	}
	x := &testLinks{recorder: &recorder{failed: map[string]bool{}}, metrics: tally.NewTestScope("", nil)}
	if a != nil {
		dir := t.TempDir()
		x.certificate, x.key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
		a.issue(name, x.certificate, x.key)
		s.CaFile, s.CertificateFile, s.KeyFile = a.file, x.certificate, x.key
	}
	return startHostWith(t, n, x, s, name)
}

func startHostWith(t *testing.T, n *memnet.Network, x *testLinks, s settings.Peer, name string) *testLinks {
	t.Helper()
	links, err := New(Config{
		Host: name, Zone: "a", Incarnation: int(time.Now().UnixMilli()), Settings: s,
		Handler: x.recorder, Logger: eventlog.Discard(), Metrics: x.metrics, Network: n,
	})
	if err != nil {
		t.Fatal(err)
	}
	x.Links = links
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = links.Run(ctx) })
	x.stop = func() {
		cancel()
		ended.Wait()
	}
	t.Cleanup(x.stop)
	return x
}

// counter returns the value of a metric.
func (x *testLinks) counter(name string) int64 {
	for _, c := range x.metrics.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}

// eventually waits up to 10 s for a condition and fails the test if it isn't met.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func withdrawFrame(request string) *message.Frame {
	return &message.Frame{Withdraw: &message.Withdraw{Request: request}}
}

func TestFramesPassBothWays(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		a := newAuthority(t)
		one, two := startHost(t, n, a, "one"), startHost(t, n, a, "two")
		one.SetLinked([]Target{{Host: "two", Address: two.Address()}})
		eventually(t, "both are linked", func() bool { return one.linkUps() > 0 && two.linkUps() > 0 })
		if !one.Send("two", withdrawFrame("r1")) || !two.Send("one", withdrawFrame("r2")) {
			t.Fatal("a frame was not queued")
		}
		eventually(t, "both frames arrived", func() bool { return one.received() == 1 && two.received() == 1 })
	})
}

func TestSendOpensALinkOnDemand(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := startHost(t, n, nil, "one"), startHost(t, n, nil, "two")
		one.SetKnown([]Target{{Host: "two", Address: two.Address()}})
		one.Send("two", withdrawFrame("r1"))
		eventually(t, "the frame arrived", func() bool { return two.received() == 1 })
	})
}

func TestDuplicateLinksAreClosed(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := startHost(t, n, nil, "one"), startHost(t, n, nil, "two")
		one.SetLinked([]Target{{Host: "two", Address: two.Address()}})
		two.SetLinked([]Target{{Host: "one", Address: one.Address()}})
		eventually(t, "both are linked", func() bool { return one.Connected("two") && two.Connected("one") })
		eventually(t, "one link is left", func() bool {
			return one.openLinks() == 1 && two.openLinks() == 1
		})
	})
}

func (l *Links) openLinks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openCount
}

func TestRefusedConnectionIsReported(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		one, two := startHost(t, n, nil, "one"), startHost(t, n, nil, "two")
		one.SetLinked([]Target{{Host: "two", Address: two.Address()}})
		eventually(t, "both are linked", func() bool { return one.linkUps() > 0 })
		two.stop()
		eventually(t, "the refusal is reported", func() bool {
			refused, failed := one.refused("two")
			return refused && failed
		})
	})
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	dialFailed := func(_, client *testLinks) bool {
		_, failed := client.refused("one")
		return failed
	}
	helloRejected := func(host, _ *testLinks) bool { return host.counter("peer_rejected_hellos") > 0 }
	for _, c := range []struct {
		name      string
		authority func(*testing.T, *authority) *authority
		hello     string
		rejected  func(host, client *testLinks) bool
	}{
		{"no TLS", func(*testing.T, *authority) *authority { return nil }, "two", dialFailed},
		{"another authority", func(t *testing.T, _ *authority) *authority { return newAuthority(t) }, "two", dialFailed},
		{"another name", func(_ *testing.T, a *authority) *authority { return a }, "three", helloRejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				a := newAuthority(t)
				host, client := startHost(t, n, a, "one"), startHost(t, n, c.authority(t, a), "two")
				client.hello.Host = c.hello
				client.SetLinked([]Target{{Host: "one", Address: host.Address()}})
				eventually(t, "the unauthenticated host was rejected", func() bool { return c.rejected(host, client) })
				time.Sleep(time.Minute)
				if host.linkUps() != 0 {
					t.Fatal("the unauthenticated host was linked")
				}
			})
		})
	}
}

func TestOutOfRangeGenerationsAreRejected(t *testing.T) {
	for _, generation := range []int{-1, maxGeneration + 1, math.MaxInt} {
		memnet.Test(t, func(t *testing.T, n *memnet.Network) {
			host := startHost(t, n, nil, "one")
			hello := &message.Hello{Host: "two", Zone: "a", Incarnation: 1, Generation: generation}
			if err := host.checkHello(hello, nil, ""); !errors.Is(err, errGeneration) {
				t.Errorf("generation %d: %v", generation, err)
			}
		})
	}
}

func TestTLSListenerRejectsPlainText(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		host := startHost(t, n, newAuthority(t), "one")
		conn, err := n.DialContext(t.Context(), "tcp", host.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /peer HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		answer, _ := io.ReadAll(conn)
		if strings.Contains(string(answer), "101") {
			t.Fatalf("a connection without TLS was upgraded: %q", answer)
		}
	})
}

// rawLink opens a link without Links, to send frames that the codec doesn't produce.
func rawLink(t *testing.T, n *memnet.Network, host *testLinks, mode websocket.CompressionMode) *websocket.Conn {
	t.Helper()
	return rawLinkFrom(t, n, host, mode, "raw")
}

// rawLinkFrom opens a rawLink from a host with the given name.
func rawLinkFrom(t *testing.T, n *memnet.Network, host *testLinks, mode websocket.CompressionMode, name string) *websocket.Conn {
	t.Helper()
	conn := rawConn(t, n, host, mode)
	hello, err := host.codec.encode(&message.Frame{Hello: &message.Hello{Host: name, Zone: "a", Incarnation: 1, Protocol: 1}})
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Write(t.Context(), websocket.MessageBinary, hello); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the raw link is open", func() bool { return host.Connected(name) })
	return conn
}

// rawConn opens a connection for a rawLink.
func rawConn(t *testing.T, n *memnet.Network, host *testLinks, mode websocket.CompressionMode) *websocket.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: n.DialContext, DisableKeepAlives: true}}
	conn, _, err := websocket.Dial(ctx, "ws://"+host.Address()+endpointPath, &websocket.DialOptions{HTTPClient: client, CompressionMode: mode})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

func TestMalformedMessagesCloseOnlyTheirLink(t *testing.T) {
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	twoKinds, err := c.encode(&message.Frame{
		Withdraw: &message.Withdraw{Request: "r"}, Release: &message.Release{Grant: "g"},
	})
	if err != nil {
		t.Fatal(err)
	}
	large, err := c.encode(withdrawFrame(strings.Repeat("r", 1<<17)))
	if err != nil {
		t.Fatal(err)
	}
	const inflated = "too large after decompression"
	for name, payload := range map[string][]byte{
		"not CBOR":   []byte("hello?"),
		"truncated":  {0xa1, 0x63, 'a', 's'},
		"two kinds":  twoKinds,
		"too large":  large,
		inflated:     large,
		"wrong type": {0xa1, 0x63, 'a', 's', 'k', 0x01},
	} {
		t.Run(name, func(t *testing.T) {
			mode := websocket.CompressionDisabled
			if name == inflated {
				mode = websocket.CompressionNoContextTakeover
			}
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				host, good := startHost(t, n, nil, "one"), startHost(t, n, nil, "good")
				good.SetLinked([]Target{{Host: "one", Address: host.Address()}})
				eventually(t, "the good link is open", func() bool { return host.Connected("good") })
				_ = rawLink(t, n, host, mode).Write(t.Context(), websocket.MessageBinary, payload)
				eventually(t, "the link is closed and counted", func() bool {
					return !host.Connected("raw") && host.counter("peer_malformed_frames") == 1
				})
				good.Send("one", withdrawFrame("still here"))
				eventually(t, "the good link still works", func() bool { return host.received() > 0 })
			})
		})
	}
}

func TestChangedCertificatesAreReloaded(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		a := newAuthority(t)
		one, two := startHost(t, n, a, "one"), startHost(t, n, a, "two")
		before := one.identity.current.Load()
		time.Sleep(10 * time.Millisecond)
		writeFile(t, one.key, []byte("half written"))
		time.Sleep(2 * certificatePollInterval)
		if one.identity.current.Load() != before {
			t.Fatal("inconsistent files were loaded")
		}
		a.issue("one", one.certificate, one.key)
		eventually(t, "the new certificate is in use", func() bool { return one.identity.current.Load() != before })
		two.SetLinked([]Target{{Host: "one", Address: one.Address()}})
		eventually(t, "a link with the new certificate", func() bool { return two.Connected("one") })
		raw, err := n.DialContext(t.Context(), "tcp", one.Address())
		if err != nil {
			t.Fatal(err)
		}
		conn := tls.Client(raw, two.identity.clientConfig())
		defer conn.Close()
		if err := conn.Handshake(); err != nil {
			t.Fatal(err)
		}
		if serial := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(); serial != a.serial+1 {
			t.Fatalf("the listener presents certificate %d, want %d", serial, a.serial+1)
		}
	})
}
