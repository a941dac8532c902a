package front

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/logread"
)

// askUnauthorised sends a request with a key that nobody has, which is refused at
// once and leaves a line in the log.
func (p *process) askUnauthorised(t *testing.T) {
	t.Helper()
	response, err := p.post("/v1/chat/completions", `{}`, "Authorization", "Bearer nobody")
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d", response.StatusCode)
	}
}

// flood sends refused requests through some connections at once.
func (p *process) flood(t *testing.T, requests int) {
	t.Helper()
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			for range requests / streams {
				p.askUnauthorised(t)
			}
		})
	}
	group.Wait()
}

// records returns the lines of the log with a message.
func (p *process) records(t *testing.T, message string) []logread.Record {
	t.Helper()
	var records []logread.Record
	err := logread.Lines(strings.NewReader(p.logText()), func(r logread.Record) {
		if r.Message == message {
			records = append(records, r)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// TestStalledLogDelaysNoRequest stops to read the log of an entry host. The lines
// are many more than the pipe holds.
func TestStalledLogDelaysNoRequest(t *testing.T) {
	t.Parallel()
	const requests = 1000
	standin := startEngine(t)
	p := startHost(t, hostConfig{service: "127.0.0.1:1", engines: []string{standin.Address()}, silence: patience, logBytes: 1 << 30})
	p.reading.Lock()
	p.flood(t, requests)
	if a := p.complete("a brief", true, outputTokens, func(int) {}); !a.whole {
		t.Errorf("answer %+v", a)
	}
	p.reading.Unlock()
	p.signal(t, syscall.SIGTERM)
	if code := p.exitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if n := len(p.records(t, eventlog.MessageRequest)); n != requests+1 {
		t.Errorf("%d requests in the log, want %d", n, requests+1)
	}
}

// TestFloodKeepsTheLogBounded floods an entry host whose log is bounded to less
// than a tenth of the lines. Each request must be in a line or in a fold.
func TestFloodKeepsTheLogBounded(t *testing.T) {
	t.Parallel()
	const (
		requests = 4000
		bound    = 16384
	)
	standin := startEngine(t)
	p := startHost(t, hostConfig{service: "127.0.0.1:1", engines: []string{standin.Address()}, silence: patience, logBytes: bound})
	began := time.Now()
	p.flood(t, requests)
	a := p.complete("a brief", true, outputTokens, func(int) {})
	if !a.whole {
		t.Errorf("answer %+v", a)
	}
	p.signal(t, syscall.SIGTERM)
	if code := p.exitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	took := time.Since(began).Seconds()
	if n := float64(len(p.logText())); n > bound*(took+2) {
		t.Errorf("%.0f bytes in %.1f s, bound %d a second and two bursts", n, took, bound)
	}
	told := len(p.records(t, eventlog.MessageRequest))
	for _, r := range p.records(t, eventlog.MessageFolded) {
		n, err := strconv.Atoi(r.Value("count"))
		if err != nil {
			t.Error(err)
		}
		told += n
	}
	if told != requests+1 {
		t.Errorf("%d requests in lines and folds, want %d", told, requests+1)
	}
	if !strings.Contains(p.logText(), fmt.Sprint("msg=request request=", a.id)) {
		t.Error("the request that ran has no last line")
	}
}
