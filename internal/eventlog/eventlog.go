// Package eventlog writes the structured log of a process.
//
// Lines pass through a bounded queue to one writer, so that a slow or stalled
// reader of the log never delays those who log. The writer keeps to a bound of
// bytes a second: beyond half of it, steps of requests are dropped and refusals of
// one kind fold into a line with their count and ids; the last line of a request
// that ran and changes of state go last. What was dropped is counted by class and
// the counts are logged.
package eventlog

import (
	"io"
	stdlog "log"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"mimosafront/internal/settings"
)

// Class says what a line is worth when not all can be written.
type Class int

// The classes of lines, in the order in which they are dropped.
const (
	// ClassDecision lines tell one step of a request.
	ClassDecision Class = iota
	// ClassState lines tell a change of the process: start, stop, reload, a
	// dependency lost or back, a belief about another host or server.
	ClassState
	// ClassEnd lines are the last ones of requests.
	ClassEnd
	classCount
)

// String returns the name of a class as the log and the metrics have it.
func (c Class) String() string { return [classCount]string{"decision", "state", "end"}[c] }

// line is one line that waits to be written.
type line struct {
	time    time.Time
	class   Class
	level   log.Level
	message string
	fields  []any
	// refusal is set for refusals, which may be folded.
	refusal *Refusal
}

// Refusal names what a refused request has in common with others of its kind.
type Refusal struct {
	Request      string
	Organisation string
	Tier         string
	Reason       string
}

// sink takes lines. It must not block.
type sink interface {
	put(line)
	close(limit time.Duration)
}

// Logger logs lines. It is safe for concurrent use, and no method but Close
// waits for the reader of the log.
type Logger struct {
	sink  sink
	level log.Level
	drops *dropCounts
}

// Config describes a Logger.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// Settings hold level, format and the bound of bytes a second.
	Settings settings.Log
}

// New returns a Logger with a writer of its own, which Close ends. It fails if
// the settings name an unknown level.
func New(c Config) (*Logger, error) {
	level, err := log.ParseLevel(string(c.Settings.Level))
	if err != nil {
		return nil, err
	}
	drops := &dropCounts{}
	q := newQueue(c, drops)
	go q.run()
	return &Logger{sink: q, level: level, drops: drops}, nil
}

// NewDirect returns a Logger that writes each line before it returns. It is for
// tests and for output that a person watches.
func NewDirect(w io.Writer) *Logger {
	return &Logger{sink: newDirectSink(w), level: log.InfoLevel, drops: &dropCounts{}}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return NewDirect(io.Discard) }

// Debug logs a change of state that is of use to developers only.
func (l *Logger) Debug(message string, fields ...any) { l.state(log.DebugLevel, message, fields) }

// Info logs a change of state.
func (l *Logger) Info(message string, fields ...any) { l.state(log.InfoLevel, message, fields) }

// Warn logs a change of state that an operator should know.
func (l *Logger) Warn(message string, fields ...any) { l.state(log.WarnLevel, message, fields) }

// Error logs a failure.
func (l *Logger) Error(message string, fields ...any) { l.state(log.ErrorLevel, message, fields) }

func (l *Logger) state(level log.Level, message string, fields []any) {
	l.put(line{time: time.Now(), class: ClassState, level: level, message: message, fields: fields})
}

// Decision logs a step of a request that was taken at a time.
func (l *Logger) Decision(at time.Time, message string, fields ...any) {
	l.put(line{time: at, class: ClassDecision, level: log.InfoLevel, message: message, fields: fields})
}

// End logs the last line of a request.
func (l *Logger) End(at time.Time, message string, fields ...any) {
	l.put(line{time: at, class: ClassEnd, level: log.InfoLevel, message: message, fields: fields})
}

// Refuse logs that a request was refused. Under load, lines of one message,
// organisation, tier and reason fold into one.
func (l *Logger) Refuse(at time.Time, r Refusal, message string, fields ...any) {
	l.put(line{time: at, class: ClassEnd, level: log.InfoLevel, message: message, fields: fields, refusal: &r})
}

func (l *Logger) put(n line) {
	if n.level >= l.level {
		l.sink.put(n)
	}
}

// OnDrop sets what is told of lines that were dropped, besides the log itself.
func (l *Logger) OnDrop(observe func(c Class, lines int)) { l.drops.observe.Store(&observe) }

// StandardLog returns a logger of the standard library whose lines are logged as
// warnings from a part of the process.
func (l *Logger) StandardLog(part string) *stdlog.Logger {
	return stdlog.New(&standardWriter{logger: l, part: part}, "", 0)
}

// standardWriter logs what the standard library's logger writes.
type standardWriter struct {
	logger *Logger
	part   string
}

func (w *standardWriter) Write(text []byte) (int, error) {
	w.logger.Warn(strings.TrimSpace(string(text)), "part", w.part)
	return len(text), nil
}

// Close writes what waits, for a time at most, and ends the writer. Lines logged
// later are lost.
func (l *Logger) Close(limit time.Duration) { l.sink.close(limit) }

// dropCounts counts the lines dropped since they were last taken.
type dropCounts struct {
	lines   [classCount]atomic.Int64
	observe atomic.Pointer[func(Class, int)]
}

func (d *dropCounts) add(c Class) {
	d.lines[c].Add(1)
	if observe := d.observe.Load(); observe != nil {
		(*observe)(c, 1)
	}
}

// take returns the counts by class and sets them to zero; ok is false if all were.
func (d *dropCounts) take() (counts [classCount]int64, ok bool) {
	for c := range d.lines {
		counts[c] = d.lines[c].Swap(0)
		ok = ok || counts[c] > 0
	}
	return counts, ok
}

// restore adds counts that were taken but not written.
func (d *dropCounts) restore(counts [classCount]int64) {
	for c, n := range counts {
		d.lines[c].Add(n)
	}
}
