package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// countingNetwork counts the bytes that dialed connections write.
type countingNetwork struct {
	tcpNetwork
	written *atomic.Int64
}

func (n *countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.tcpNetwork.DialContext(ctx, network, address)
	return countingConn{conn, n.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// startBench runs the links of a host that counts the written bytes.
func startBench(b *testing.B, name, seeds string, written *atomic.Int64) (*recorder, *Links) {
	r := &recorder{failed: map[string]bool{}}
	l, err := New(Config{
		Host: name, Zone: "a", Incarnation: 1, Handler: r, Logger: eventlog.Discard(), Metrics: tally.NoopScope,
		Network: &countingNetwork{written: written},
		Settings: settings.Peer{
			Listen: "127.0.0.1:0", Insecure: true, SuspectMs: 60000, DeadMs: 60000, MaxFrameBytes: 1 << 16, MaxLinks: 16, Seeds: seeds,
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = l.Run(b.Context()) }()
	return r, l
}

// wireFrames returns frames with the content and size that they have in a large fleet.
func wireFrames() []*message.Frame {
	const host, request, hash = "lisbon-a-host-12", "dc95sg1ksduavbnak7cg", 0x9e3779b97f4a7c15
	pool := message.Pool{Zone: "lisbon-a", Target: "fountain-vision"}
	ask := &message.Ask{
		Request: request, Attempt: 1, Pool: pool, Organisation: "organisation-1600", Caller: "organisation-1600-caller-1", Tier: 1,
		PromptTokens: 300, OutputTokens: 450, DeadlineMs: 30000, Fingerprint: hash, Prefixes: []uint64{hash, 1, 2, 3, 4, 5, 6, 7},
	}
	for i := range ask.Prefixes {
		ask.Prefixes[i] = hash * uint64(i+3)
	}
	digest := &message.Digest{Host: host, Incarnation: 1796365884106, Pool: pool, Sequence: 812, FreeTokens: 15013, Servers: 13, TokensPerSecond: 2412.83}
	for i := range 4 {
		digest.Tiers = append(digest.Tiers, message.TierLoad{
			Tier: i, Waiting: 31 + 7*i, WaitingTokens: 12047 * (i + 1), Running: 23, RunningTokens: 9113 + i, WaitMs: 812 * i,
		})
	}
	for i := range 16 {
		digest.Usage = append(digest.Usage, message.Usage{Organisation: fmt.Sprint("organisation-", 97*i), Tier: i % 4, Tokens: 7919 * (i + 1)})
	}
	report := &message.Heartbeat{Host: host, Incarnation: 1796365884106, Sequence: 3907, State: "alive", Version: 2, PolicyGeneration: 71, ViewHash: hash, Reports: true}
	progress := &message.Progress{}
	for i := range 3 {
		grant := fmt.Sprint(host, ".1796365884106.1.", 3901+17*i)
		report.Grants = append(report.Grants, message.HeldGrant{
			Grant: grant, Request: fmt.Sprintf("dc95sg1ksduavbnak%dcg", 7+31*i), Pool: pool, Organisation: fmt.Sprint("organisation-", 97*i),
			Caller: fmt.Sprintf("organisation-%d-caller-1", 97*i), Server: fmt.Sprint("lisbon-a-engine-", 3+i),
			Tier: i, PromptTokens: 300 + i, ExpectedTokens: 450, Dispatched: true, OutputTokens: 61 * i,
		})
		progress.Entries = append(progress.Entries, message.ProgressEntry{Grant: grant, Pool: pool, OutputTokens: 61 * (i + 1), FirstTokenMs: 310 + i, GapMs: 32.7 + float64(i)/3})
	}
	grant := &message.Grant{Request: request, Attempt: 1, Grant: progress.Entries[0].Grant, Pool: pool, Server: "lisbon-a-engine-13", LifetimeMs: 2000}
	release := &message.Release{
		Request: request, Grant: grant.Grant, Pool: pool, Outcome: "finished", PromptTokens: 300, CachedTokens: 100, OutputTokens: 450, FirstTokenMs: 500, TotalMs: 15000,
	}
	return []*message.Frame{
		{Beat: &message.Beat{Base: hash}}, {Ask: ask}, {Grant: grant}, {Release: release}, {Progress: progress}, {Heartbeat: report}, {Digest: digest},
	}
}

// BenchmarkWire measures the size of a frame on a link: the encoded bytes, and the bytes
// sent, which include WebSocket framing but neither TLS nor TCP/IP headers.
func BenchmarkWire(b *testing.B) {
	for _, f := range wireFrames() {
		b.Run(string(f.Kind()), func(b *testing.B) {
			var written atomic.Int64
			x, accepting := startBench(b, "x", "", new(atomic.Int64))
			y, links := startBench(b, "y", accepting.Address(), &written)
			for x.linkUps() == 0 || y.linkUps() == 0 {
				runtime.Gosched()
			}
			before := written.Load()
			b.ResetTimer()
			for i := range b.N {
				links.Send("x", f)
				for x.received() <= i {
					runtime.Gosched()
				}
			}
			payload, _ := links.codec.encode(f)
			b.ReportMetric(float64(len(payload)), "encoded-bytes")
			b.ReportMetric(float64(written.Load()-before)/float64(b.N), "sent-bytes")
		})
	}
}
