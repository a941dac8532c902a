package backend

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLoad measures the CPU time of one request for a load report, including that
// of the engine.
func BenchmarkLoad(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"running":3,"waiting":0,"tokens_in_flight":900,"cache_used":0.5,"age_ms":200}`)
	}))
	defer server.Close()
	engine := Engine{Dialer: Dialer{ConnectTimeout: time.Second, IdleTimeout: time.Second}}
	target := policy.Server{Name: "e1", Address: server.Listener.Addr().String()}
	before := cpuTime(b)
	for b.Loop() {
		if _, err := engine.Load(b.Context(), target); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}
