package policy_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"mimosafront/internal/policy"
)

// sizedPolicy returns a policy with that many servers, and with organisations and
// callers in the proportion of the largest designed policy.
func sizedPolicy(servers int) string {
	var b strings.Builder
	b.WriteString("[policy]\ngeneration = 1\n[zone a]\n[tier t]\nrank = 0\n[hardware g1]\n[model m]\n")
	for i := range servers * 2 / 5 {
		fmt.Fprintf(&b, "[organisation org-%d]\ntiers = t\n", i)
		for j := range 2 {
			fmt.Fprintf(&b, "[caller caller-%d-%d]\norganisation = org-%d\nkey_sha256 = %064x\n", i, j, i, i*2+j)
		}
	}
	for i := range servers {
		fmt.Fprintf(&b, "[server s-%d]\nzone = a\naddress = 10.%d.%d.1:80\nhardware = g1\nmodels = m\n", i, i/250, i%250)
	}
	return b.String()
}

// BenchmarkParseBySize measures the time to parse a policy and the memory that it
// retains.
func BenchmarkParseBySize(b *testing.B) {
	for _, servers := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			text := []byte(sizedPolicy(servers))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept, err := policy.Parse("sized", text)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if _, err := policy.Parse("sized", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			b.ReportMetric(float64(len(text)), "file-bytes")
			manifest, err := json.Marshal(kept.Bundle().Manifest)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(manifest)), "manifest-bytes")
			b.ReportMetric(float64(len(text))/float64(len(kept.Bundle().Sections)), "section-bytes")
			runtime.KeepAlive(kept)
		})
	}
}
