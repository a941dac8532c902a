package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// MessageRequest is the message of the last line of a request, logged by its front.
const MessageRequest = "request"

// Messages of the lines that the logger itself adds to the log.
const (
	// MessageFolded summarizes refusals of one kind. Its field "requests" holds
	// request ids, separated by commas.
	MessageFolded = "refusals folded"
	// MessageDropped reports how many lines were dropped, by class.
	MessageDropped = "log lines dropped"
	// MessageUnwritten reports that a write to the log failed.
	MessageUnwritten = "log not written"
)

const (
	// queueLines bounds the queued lines. It holds the lines of 1 second at 1,000
	// requests/s, about 4 MB.
	queueLines = 8192
	// decisionLines is the queue length from which decision lines are dropped. The
	// rest of the queue is reserved for state and end lines.
	decisionLines = queueLines / 2
)

// queue is the bounded queue between the goroutines that log and the writer.
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
	// writeErr is the last write error that has not been logged yet.
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

// put queues a line, or drops and counts it if the queue has no room for its class.
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

// close stops the writer after it has written the queued lines. It waits at most
// limit.
func (q *queue) close(limit time.Duration) {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.stopped:
	case <-time.After(limit):
	}
}

// run writes lines until close is called.
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

// drain writes the lines still queued at close.
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
	// Skip rendering for a decision line that the reserve rejects anyway.
	if n.class == ClassDecision && !q.bucket.aboveReserve() || !q.write(n) {
		q.drops.add(n.class)
	}
}

// write writes a line if the token bucket allows it and reports whether it was
// written. A write error is logged with the next summary.
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

// summarize writes the folded refusals, the last write error and the counts of
// dropped lines. Folds that the token bucket does not allow yet are kept.
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

// writeDrops logs how many lines were dropped. Counts that cannot be written yet are
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
