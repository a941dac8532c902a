package message

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var benchPool = Pool{Zone: "lisbon-a", Target: "fountain-vision"}

func benchFrames(prefixes int) map[string]*Frame {
	const request, grant = "dc95sg1ksduavbnak7cg", "host-0.1796365884106.1.39"
	ask := &Ask{
		Request: request, Attempt: 1, Pool: benchPool, Organisation: "organisation-1600", Caller: "organisation-1600-caller-1",
		Tier: 1, PromptTokens: 300, OutputTokens: 450, DeadlineMs: 30000, Fingerprint: 1 << 62,
	}
	for i := range prefixes {
		ask.Prefixes = append(ask.Prefixes, 1<<62+uint64(i))
	}
	return map[string]*Frame{
		"ask":   {Ask: ask},
		"grant": {Grant: &Grant{Request: request, Attempt: 1, Grant: grant, Pool: benchPool, Server: "lisbon-a-engine-13", LifetimeMs: 2000}},
		"release": {Release: &Release{
			Request: request, Grant: grant, Pool: benchPool, Outcome: ReleaseOutcomeFinished, PromptTokens: 300, CachedTokens: 100,
			OutputTokens: 450, FirstTokenMs: 500, TotalMs: 15000,
		}},
	}
}

// BenchmarkFrame measures the encoded size and the encoding and decoding time
// of the frames of one request.
func BenchmarkFrame(b *testing.B) {
	for _, name := range []string{"ask", "grant", "release"} {
		for _, prefixes := range []int{0, 4, 8, 16} {
			b.Run(fmt.Sprintf("%s/prefixes=%d", name, prefixes), func(b *testing.B) {
				frame := benchFrames(prefixes)[name]
				size := 0
				for b.Loop() {
					data, err := cbor.Marshal(frame)
					if err != nil {
						b.Fatal(err)
					}
					var decoded Frame
					if err := cbor.Unmarshal(data, &decoded); err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size), "frame-bytes")
			})
		}
	}
}
