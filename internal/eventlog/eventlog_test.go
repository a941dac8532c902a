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

// blockableWriter is a writer whose writes block while blocked is set and fail while
// err is set.
type blockableWriter struct {
	mu        sync.Mutex
	unblocked sync.Cond
	blocked   bool
	text      bytes.Buffer
	err       error
}

func newBlockableWriter() *blockableWriter {
	w := &blockableWriter{}
	w.unblocked.L = &w.mu
	return w
}

func (w *blockableWriter) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.blocked {
		w.unblocked.Wait()
	}
	if w.err != nil {
		return 0, w.err
	}
	return w.text.Write(text)
}

func (w *blockableWriter) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.unblocked.Broadcast()
}

// records decodes the lines written so far, each as a map of its fields.
func (w *blockableWriter) records(t *testing.T) []map[string]string {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []map[string]string
	decoder := logfmt.NewDecoder(bytes.NewReader(w.text.Bytes()))
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

// unbounded is a limit of bytes per second that no test reaches.
const unbounded = 1 << 30

// number returns the value of an integer field.
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
		w := newBlockableWriter()
		w.blocked = true
		l := newLogger(t, w, unbounded)
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
			t.Errorf("logging blocked for %s while the writer was stalled", took)
		}
		w.update(func() { w.blocked = false })
		time.Sleep(2 * foldInterval)
		written := map[string]int{}
		var dropped map[string]string
		for _, record := range w.records(t) {
			written[record["msg"]]++
			if record["msg"] == MessageDropped {
				dropped = record
			}
		}
		// The writer goroutine holds at most one line while its write is blocked.
		if n := written["dispatch"]; n < decisionLines || n > decisionLines+1 {
			t.Errorf("%d decision lines written, want half of the queue", n)
		}
		if n := written[MessageRequest]; n < queueLines-decisionLines || n > queueLines-decisionLines+1 {
			t.Errorf("%d end lines written, want the other half of the queue", n)
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
		w := newBlockableWriter()
		l := newLogger(t, w, unbounded)
		for i := range 100 {
			l.Info("membership", "host", i)
		}
		l.Close(time.Second)
		if n := len(w.records(t)); n != 100 {
			t.Errorf("%d lines written, want 100", n)
		}
	})
}

func TestCloseDoesNotWaitForAStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBlockableWriter()
		w.blocked = true
		l := newLogger(t, w, unbounded)
		l.Info("stopped")
		synctest.Wait()
		began := time.Now()
		l.Close(time.Second)
		if took := time.Since(began); took != time.Second {
			t.Errorf("Close took %s, want its limit", took)
		}
		w.update(func() { w.blocked = false })
	})
}

// flood logs 2000 requests per second: 9 of 10 are refusals, of two organisations, and
// the others log one decision line and one end line. It returns the count of each.
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

// TestFloodKeepsToTheBound logs at about ten times the limit of bytes per second. Each
// refusal must be written or counted in a fold, and all end lines of requests that ran
// must be written.
func TestFloodKeepsToTheBound(t *testing.T) {
	const (
		bound   = 40_000
		seconds = 20
	)
	synctest.Test(t, func(t *testing.T) {
		w := newBlockableWriter()
		l := newLogger(t, w, bound)
		refusals, ends, steps := flood(l, seconds)
		l.Info("policy in force", "generation", 2)
		time.Sleep(10 * foldInterval)
		l.Close(time.Second)
		if n := w.text.Len(); n > (seconds+10+2)*bound {
			t.Errorf("%d bytes written in %d s, limit %d per second", n, seconds+10, bound)
		}
		written := map[string]int{}
		foldedCount, dropped := 0, 0
		for _, record := range w.records(t) {
			switch record["msg"] {
			case MessageFolded:
				foldedCount += number(t, record, "count")
				if ids := strings.Split(record["requests"], ","); len(ids) > maxFoldedIDs || !strings.HasPrefix(ids[0], "request-") {
					t.Errorf("folded line has %d ids: %.60s", len(ids), record["requests"])
				}
				if record["kind"] != MessageRequest || record["tier"] != "caption" || record["reason"] != "shed" {
					t.Errorf("unexpected folded line: %v", record)
				}
			case MessageDropped:
				dropped += number(t, record, "decision")
				if number(t, record, "end")+number(t, record, "state") > 0 {
					t.Errorf("lines other than decisions were dropped: %v", record)
				}
			default:
				written[record["msg"]+record["code"]]++
			}
		}
		if got := written["requestshed"] + foldedCount; got != refusals {
			t.Errorf("%d refusals written or folded, want %d", got, refusals)
		}
		if got := written["dispatch"] + dropped; got != steps {
			t.Errorf("%d decision lines written or counted as dropped, want %d", got, steps)
		}
		if written["requestok"] != ends || written["policy in force"] != 1 {
			t.Errorf("lines written: %v; want %d end lines and one state line", written, ends)
		}
	})
}

// TestNoFoldingBelowBound checks that no line is folded or dropped below the limit of
// bytes per second.
func TestNoFoldingBelowBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBlockableWriter()
		l := newLogger(t, w, 1<<20)
		refusals, ends, steps := flood(l, 2)
		l.Close(time.Second)
		if n := len(w.records(t)); n != refusals+ends+steps {
			t.Errorf("%d lines written, want %d", n, refusals+ends+steps)
		}
	})
}

func TestWriterFailureIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBlockableWriter()
		w.err = errors.New("broken pipe")
		l := newLogger(t, w, unbounded)
		l.Info("started")
		time.Sleep(foldInterval / 2)
		w.update(func() { w.err = nil })
		time.Sleep(foldInterval)
		l.Close(time.Second)
		records := w.records(t)
		if len(records) != 2 || records[0]["msg"] != MessageUnwritten || number(t, records[1], "state") != 1 {
			t.Errorf("records %v", records)
		}
	})
}

// TestLineTimeIsDecisionTime checks that a line carries the time of the decision and
// not the time at which it was written.
func TestLineTimeIsDecisionTime(t *testing.T) {
	w := newBlockableWriter()
	l := NewDirect(w)
	at := time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	l.Decision(at, "grant", "request", "r1")
	l.Debug("not logged at this level")
	records := w.records(t)
	if len(records) != 1 || records[0]["time"] != at.Format(time.RFC3339Nano) || records[0]["request"] != "r1" {
		t.Errorf("records %v", records)
	}
}

func TestStandardLog(t *testing.T) {
	w := newBlockableWriter()
	NewDirect(w).StandardLog("callers").Print("http: TLS handshake error\n")
	records := w.records(t)
	if len(records) != 1 || records[0]["level"] != "warn" || records[0]["part"] != "callers" {
		t.Errorf("records %v", records)
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := New(Config{Writer: io.Discard, Settings: settings.Log{Level: "loud"}}); err == nil {
		t.Error("an unknown level was accepted")
	}
}

// BenchmarkDecision measures the cost of a decision line for the goroutine that logs.
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
