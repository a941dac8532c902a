package front

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// tokensPerAnswer is the length of the answers of the token benchmark.
const tokensPerAnswer = 2000

// cpuTime returns the CPU time of the process so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// streamTokens writes an answer of n tokens, each with a write of its own.
func streamTokens(w http.ResponseWriter, id string, n int) {
	for range n {
		writeChunk(w, id, "plate ")
	}
	writeEnd(w, id, n)
}

func engineOf(b *testing.B, n int) *scriptedEngine {
	return startEngine(b, &loopback{}, func(w http.ResponseWriter, r *http.Request) {
		streamTokens(w, r.Header.Get("X-Request-Id"), n)
	})
}

// complete sends one streamed completion and reads the whole answer.
func complete(b *testing.B, url string) {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader([]byte(chatBody(true))))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("X-Request-Id", "bench")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || !bytes.HasSuffix(body, []byte("[DONE]\n\n")) {
		b.Fatalf("answer of %d bytes, error %v", len(body), err)
	}
}

// BenchmarkToken measures the CPU time of a token with and without the front;
// the difference is what the front adds. Engine and caller run in the process.
func BenchmarkToken(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		engine := engineOf(b, tokensPerAnswer)
		benchmarkTokens(b, "http://"+engine.address)
	})
	b.Run("front", func(b *testing.B) {
		engine := engineOf(b, tokensPerAnswer)
		h := startHost(b, &loopback{}, testPolicy(b, []string{engine.address}, nil), testSettings())
		benchmarkTokens(b, "http://"+h.address)
	})
}

func benchmarkTokens(b *testing.B, url string) {
	complete(b, url)
	runtime.GC()
	before := cpuTime(b)
	for b.Loop() {
		complete(b, url)
	}
	perToken := float64((cpuTime(b) - before).Microseconds()) / float64(b.N*tokensPerAnswer)
	b.ReportMetric(perToken, "us-CPU/token")
}

// BenchmarkRequest measures the CPU time of a request with a short answer, with
// and without the front.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"direct", "front"} {
		b.Run(name, func(b *testing.B) {
			engine := engineOf(b, 1)
			url := "http://" + engine.address
			if name == "front" {
				url = "http://" + startHost(b, &loopback{}, testPolicy(b, []string{engine.address}, nil), testSettings()).address
			}
			complete(b, url)
			before := cpuTime(b)
			for b.Loop() {
				complete(b, url)
			}
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "us-CPU/request")
		})
	}
}

// BenchmarkParseChat measures the reading of a request body by its size.
func BenchmarkParseChat(b *testing.B) {
	for _, size := range []int{1 << 10, 32 << 10, 512 << 10} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			body := []byte(chatWith(`"` + string(bytes.Repeat([]byte("family "), size/7)) + `"`))
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				c, err := parseChat(body)
				if err != nil {
					b.Fatal(err)
				}
				prefixHashes(c.Model, c.prompt)
				contentHash(c)
				if _, err := c.engineBody(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
