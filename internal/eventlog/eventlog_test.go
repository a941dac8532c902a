package eventlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logfmt/logfmt"

	"mimosafront/internal/settings"
)

// blockableWriter is a reader of the log that takes nothing while it is shut.
type blockableWriter struct {
	mu        sync.Mutex
	unblocked sync.Cond
	blocked   bool
	text      bytes.Buffer
	err       error
}

func newBlockableWriter() *blockableWriter {
	g := &blockableWriter{}
	g.unblocked.L = &g.mu
	return g
}

func (g *blockableWriter) Write(text []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.blocked {
		g.unblocked.Wait()
	}
	if g.err != nil {
		return 0, g.err
	}
	return g.text.Write(text)
}

func (g *blockableWriter) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	g.unblocked.Broadcast()
}

// records returns the lines so far as maps of their fields.
func (g *blockableWriter) records(t *testing.T) []map[string]string {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var records []map[string]string
	decoder := logfmt.NewDecoder(bytes.NewReader(g.text.Bytes()))
	for decoder.ScanRecord() {
		record := map[string]string{}
		for decoder.ScanKeyval() {
			record[string(decoder.Key())] = string(decoder.Value())
		}
		records = append(records, record)
	}
	if decoder.Err() != nil {
		t.Fatal(decoder.Err())
	}
	return records
}

func newLogger(t *testing.T, w io.Writer, bytesPerSecond int) *Logger {
	t.Helper()
	l, err := New(Config{Writer: w, Settings: settings.Log{
		Level: settings.LogLevelInfo, Format: settings.LogFormatLogfmt, MaxBytesPerSecond: bytesPerSecond,
	}})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// unbounded is a bound of bytes a second that no test reaches.
const unbounded = 1 << 30

// number reads a field that holds a number.
func number(t *testing.T, record map[string]string, field string) int {
	t.Helper()
	n, err := strconv.Atoi(record[field])
	if err != nil {
		t.Fatalf("field %s of %v: %v", field, record, err)
	}
	return n
}

func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		g.blocked = true
		l := newLogger(t, g, unbounded)
		var observed [classCount]int
		l.OnDrop(func(c Class, lines int) { observed[c] += lines })
		began := time.Now()
		for range queueLines {
			l.Decision(time.Now(), "dispatch")
		}
		for range queueLines {
			l.End(time.Now(), MessageRequest)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("logging took %s while the reader stalled", took)
		}
		g.update(func() { g.blocked = false })
		time.Sleep(2 * foldInterval)
		written := map[string]int{}
		var dropped map[string]string
		for _, record := range g.records(t) {
			written[record["msg"]]++
			if record["msg"] == MessageDropped {
				dropped = record
			}
		}
		// The writer holds one line or none while the reader stalls.
		if n := written["dispatch"]; n < decisionLines || n > decisionLines+1 {
			t.Errorf("%d decisions written, want half of the queue", n)
		}
		if n := written[MessageRequest]; n < queueLines-decisionLines || n > queueLines-decisionLines+1 {
			t.Errorf("%d ends written, want the other half", n)
		}
		for c, message := range map[Class]string{ClassDecision: "dispatch", ClassEnd: MessageRequest} {
			if n := number(t, dropped, c.String()); n != queueLines-written[message] || n != observed[c] {
				t.Errorf("%s: %d counted as dropped, %d observed, %d written of %d", c, n, observed[c], written[message], queueLines)
			}
		}
		l.Close(time.Second)
	})
}

func TestCloseFlushesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		l := newLogger(t, g, unbounded)
		for i := range 100 {
			l.Info("membership", "host", i)
		}
		l.Close(time.Second)
		if n := len(g.records(t)); n != 100 {
			t.Errorf("%d lines written, want 100", n)
		}
	})
}

func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		g.blocked = true
		l := newLogger(t, g, unbounded)
		l.Info("stopped")
		synctest.Wait()
		began := time.Now()
		l.Close(time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("close took %s", took)
		}
		g.update(func() { g.blocked = false })
	})
}

// flood logs requests for a time: refusals of two organisations, and requests that
// ran, each with a step and its end. It returns how many lines of each kind.
func flood(l *Logger, seconds int) (refusals, ends, steps int) {
	const perSecond = 2000
	for i := range seconds * perSecond {
		id := fmt.Sprintf("request-%08d", i)
		if i%10 == 0 {
			l.Decision(time.Now(), "dispatch", "request", id)
			l.End(time.Now(), MessageRequest, "request", id, "code", "ok")
			steps++
			ends++
		} else {
			r := Refusal{Request: id, Organisation: fmt.Sprint("org-", i%2), Tier: "caption", Reason: "shed"}
			l.Refuse(time.Now(), r, MessageRequest, "request", id, "code", "shed")
			refusals++
		}
		time.Sleep(time.Second / perSecond)
	}
	return refusals, ends, steps
}

// TestFloodKeepsToTheBound floods a log at about ten times its bound. Each refusal
// must be written or counted in a fold, and the ends of what ran must be there.
func TestFloodKeepsToTheBound(t *testing.T) {
	const (
		bound   = 40_000
		seconds = 20
	)
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		l := newLogger(t, g, bound)
		refusals, ends, steps := flood(l, seconds)
		l.Info("policy in force", "generation", 2)
		time.Sleep(10 * foldInterval)
		l.Close(time.Second)
		if n := g.text.Len(); n > (seconds+10+2)*bound {
			t.Errorf("%d bytes in %d s, bound %d a second", n, seconds+10, bound)
		}
		written := map[string]int{}
		foldedCount, dropped := 0, 0
		for _, record := range g.records(t) {
			switch record["msg"] {
			case MessageFolded:
				foldedCount += number(t, record, "count")
				if ids := strings.Split(record["requests"], ","); len(ids) > maxFoldedIDs || !strings.HasPrefix(ids[0], "request-") {
					t.Errorf("fold of %d ids: %.60s", len(ids), record["requests"])
				}
				if record["kind"] != MessageRequest || record["tier"] != "caption" || record["reason"] != "shed" {
					t.Errorf("fold %v", record)
				}
			case MessageDropped:
				dropped += number(t, record, "decision")
				if number(t, record, "end")+number(t, record, "state") > 0 {
					t.Errorf("more than steps was dropped: %v", record)
				}
			default:
				written[record["msg"]+record["code"]]++
			}
		}
		if got := written["requestshed"] + foldedCount; got != refusals {
			t.Errorf("%d refusals written or folded, want %d", got, refusals)
		}
		if got := written["dispatch"] + dropped; got != steps {
			t.Errorf("%d steps written or counted, want %d", got, steps)
		}
		if written["requestok"] != ends || written["policy in force"] != 1 {
			t.Errorf("written %v, want %d ends and one change of state", written, ends)
		}
	})
}

// TestNoFoldingBelowBound checks that a calm log holds each line by itself.
func TestNoFoldingBelowBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		l := newLogger(t, g, 1<<20)
		refusals, ends, steps := flood(l, 2)
		l.Close(time.Second)
		if n := len(g.records(t)); n != refusals+ends+steps {
			t.Errorf("%d lines, want %d", n, refusals+ends+steps)
		}
	})
}

func TestWriterFailureIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newBlockableWriter()
		g.err = errors.New("broken pipe")
		l := newLogger(t, g, unbounded)
		l.Info("started")
		time.Sleep(foldInterval / 2)
		g.update(func() { g.err = nil })
		time.Sleep(foldInterval)
		l.Close(time.Second)
		records := g.records(t)
		if len(records) != 2 || records[0]["msg"] != MessageUnwritten || number(t, records[1], "state") != 1 {
			t.Errorf("records %v", records)
		}
	})
}

// TestLineTimeIsDecisionTime checks that the time of a line is not that of
// its writing.
func TestLineTimeIsDecisionTime(t *testing.T) {
	g := newBlockableWriter()
	l := NewDirect(g)
	at := time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	l.Decision(at, "grant", "request", "r1")
	l.Debug("not logged at this level")
	records := g.records(t)
	if len(records) != 1 || records[0]["time"] != at.Format(time.RFC3339Nano) || records[0]["request"] != "r1" {
		t.Errorf("records %v", records)
	}
}

func TestStandardLog(t *testing.T) {
	g := newBlockableWriter()
	NewDirect(g).StandardLog("callers").Print("http: TLS handshake error\n")
	records := g.records(t)
	if len(records) != 1 || records[0]["level"] != "warn" || records[0]["part"] != "callers" {
		t.Errorf("records %v", records)
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := New(Config{Writer: io.Discard, Settings: settings.Log{Level: "loud"}}); err == nil {
		t.Error("no error")
	}
}

// BenchmarkDecision measures what a line costs those who log it.
func BenchmarkDecision(b *testing.B) {
	l, err := New(Config{Writer: io.Discard, Settings: settings.Log{
		Level: settings.LogLevelInfo, Format: settings.LogFormatLogfmt, MaxBytesPerSecond: unbounded,
	}})
	if err != nil {
		b.Fatal(err)
	}
	at := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		l.Decision(at, "grant", "request", "r1", "organisation", "engravers", "server", "engine-1", "waited_ms", 12)
	}
	l.Close(time.Second)
}
