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

// tokensPerAnswer is the length of the answers of BenchmarkToken.
const tokensPerAnswer = 2000

// cpuTime returns the CPU time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// streamTokens writes an answer of n tokens, with one write for each token.
func streamTokens(w http.ResponseWriter, id string, n int) {
	for range n {
		writeChunk(w, id, "plate ")
	}
	writeEnd(w, id, n)
}

// startTokenEngine starts an engine that answers with n tokens.
func startTokenEngine(b *testing.B, n int) *scriptedEngine {
	return startEngine(b, &loopback{}, func(w http.ResponseWriter, r *http.Request) {
		streamTokens(w, r.Header.Get("X-Request-Id"), n)
	})
}

// complete sends one streamed chat completion and reads the complete answer.
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

// BenchmarkToken measures the CPU time per token with and without the front; the
// difference is the overhead of the front. Engine and caller run in the same process.
func BenchmarkToken(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		engine := startTokenEngine(b, tokensPerAnswer)
		benchmarkTokens(b, "http://"+engine.address)
	})
	b.Run("front", func(b *testing.B) {
		engine := startTokenEngine(b, tokensPerAnswer)
		h := startHost(b, &loopback{}, testPolicy(b, []string{engine.address}, nil), testSettings())
		benchmarkTokens(b, "http://"+h.address)
	})
}

// benchmarkTokens reports the CPU time per token of answers from url.
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

// BenchmarkRequest measures the CPU time per request with a short answer, with and
// without the front.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"direct", "front"} {
		b.Run(name, func(b *testing.B) {
			engine := startTokenEngine(b, 1)
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

const (
	// routedEvents and eventPause are the number of events of a stream in
	// BenchmarkRoutedStream and the pause after each.
	routedEvents = 20
	eventPause   = 2 * time.Millisecond
	// routedBody is the size of the request bodies, in bytes.
	routedBody = 17_000
	// routedStreams is the factor of GOMAXPROCS by which streams run concurrently.
	routedStreams = 16
)

// BenchmarkRoutedStream measures the CPU time per stream on a route, with and without
// the front, over kept-alive connections.
func BenchmarkRoutedStream(b *testing.B) {
	for _, name := range []string{"direct", "front"} {
		b.Run(name, func(b *testing.B) {
			_, address := startRouteServer(b, &loopback{}, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for id := 1; id <= routedEvents; id++ {
					writeEvents(w, id, id)
					time.Sleep(eventPause)
				}
			})
			if name == "front" {
				address = startRoutes(b, &loopback{}, address).address
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: routedStreams}}
			body := bytes.Repeat([]byte("x"), routedBody)
			before := cpuTime(b)
			b.SetParallelism(routedStreams)
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					streamOnRoute(b, client, address, body)
				}
			})
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "us-CPU/request")
		})
	}
}

// streamOnRoute sends one request on a route and reads its complete stream.
func streamOnRoute(b *testing.B, client *http.Client, address string, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/stories/1", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	request.Host = "coins.example"
	for name, value := range map[string]string{"X-Id": "id", "X-Key": testKey, "X-Tokens": "3720,120", "X-Deadline": "5000"} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || !bytes.HasSuffix(answer, []byte(event(routedEvents))) {
		b.Errorf("status %d, answer of %d bytes, error %v", response.StatusCode, len(answer), err)
	}
}

// BenchmarkParseChat measures the parsing, hashing and encoding of a request body by
// its size.
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
