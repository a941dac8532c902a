package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// MessageRequest is the message of a request's last line, from its front.
const MessageRequest = "request"

// Messages of the lines that the log writes of itself.
const (
	// MessageFolded stands for refusals of one kind; its field "requests" holds
	// ids, separated by commas.
	MessageFolded = "refusals folded"
	// MessageDropped counts the lines that were dropped, by class.
	MessageDropped = "log lines dropped"
	// MessageUnwritten tells that the reader of the log failed.
	MessageUnwritten = "log not written"
)

const (
	// queueLines bounds the lines that wait: a second of the lines of 1,000
	// requests/s, some 4 MB.
	queueLines = 8192
	// decisionLines bounds the waiting lines up to which steps of requests are
	// taken; the rest is for state and ends.
	decisionLines = queueLines / 2
)

// queue is the bounded way from those who log to the writer.
type queue struct {
	lines    chan line
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	writer   io.Writer
	renderer *renderer
	bucket   *byteBucket
	folds    *foldSet
	drops    *dropCounts
	// writeErr is the last error of the writer that was not logged yet.
	writeErr error
}

func newQueue(c Config, drops *dropCounts) *queue {
	return &queue{
		lines:    make(chan line, queueLines),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
		writer:   c.Writer,
		renderer: newRenderer(c.Settings.Format),
		bucket:   newByteBucket(time.Now(), c.Settings.MaxBytesPerSecond),
		folds:    newFoldSet(),
		drops:    drops,
	}
}

// put queues a line or drops it.
func (q *queue) put(n line) {
	if n.class == ClassDecision && len(q.lines) >= decisionLines {
		q.drops.add(n.class)
		return
	}
	select {
	case q.lines <- n:
	default:
		q.drops.add(n.class)
	}
}

// close ends the writer once it has written what waits, or after a time.
func (q *queue) close(limit time.Duration) {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.stopped:
	case <-time.After(limit):
	}
}

// run writes until close.
func (q *queue) run() {
	defer close(q.stopped)
	ticker := time.NewTicker(foldInterval)
	defer ticker.Stop()
	for {
		select {
		case n := <-q.lines:
			q.process(n)
		case <-ticker.C:
			q.summarize()
		case <-q.stop:
			q.drain()
			return
		}
	}
}

// drain writes what waits at the end.
func (q *queue) drain() {
	for {
		select {
		case n := <-q.lines:
			q.process(n)
		default:
			q.summarize()
			return
		}
	}
}

// process writes, folds or drops one line.
func (q *queue) process(n line) {
	q.bucket.refill(time.Now())
	if n.refusal != nil && !q.bucket.aboveReserve() && q.folds.add(n) {
		return
	}
	// A step that has no room anyway isn't rendered first.
	if n.class == ClassDecision && !q.bucket.aboveReserve() || !q.write(n) {
		q.drops.add(n.class)
	}
}

// write writes a line if the budget allows it. A failure of the writer is told
// with the next summary.
func (q *queue) write(n line) bool {
	text := q.renderer.render(n)
	if !q.bucket.spend(n.class, len(text)) {
		return false
	}
	if _, err := q.writer.Write(text); err != nil {
		q.writeErr = err
		return false
	}
	return true
}

// summarize writes the folded refusals and the counts of dropped lines. Folds
// that the budget has no room for are kept and grow.
func (q *queue) summarize() {
	q.bucket.refill(time.Now())
	for _, key := range q.folds.sortedKeys() {
		if q.write(q.folds.summaryLine(key)) {
			q.folds.remove(key)
		}
	}
	if q.writeErr != nil {
		q.write(line{time: time.Now(), class: ClassState, level: log.ErrorLevel, message: MessageUnwritten, fields: []any{"error", q.writeErr}})
		q.writeErr = nil
	}
	q.writeDrops()
}

// writeDrops logs how many lines were dropped. Counts that can't be written are
// kept.
func (q *queue) writeDrops() {
	counts, ok := q.drops.take()
	if !ok {
		return
	}
	var fields []any
	for c, n := range counts {
		fields = append(fields, Class(c).String(), n)
	}
	if !q.write(line{time: time.Now(), class: ClassState, level: log.WarnLevel, message: MessageDropped, fields: fields}) {
		q.drops.restore(counts)
	}
}
