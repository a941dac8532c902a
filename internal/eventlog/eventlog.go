// Package eventlog writes the structured log of a process.
//
// Lines pass through a bounded queue to one writer goroutine, so that a slow or
// stalled reader of the log never blocks the goroutines that log. A token bucket
// limits the bytes written per second. Once less than half of its burst is left,
// steps of requests are dropped and refusals of one kind are folded into one line
// with their count and ids. Changes of state and the last lines of requests that ran
// are dropped last. Dropped lines are counted by class and the counts are logged.
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

// Class is the priority of a line when not all lines can be written.
type Class int

// The classes of lines, in the order in which they are dropped.
const (
	// ClassDecision is one step of a request.
	ClassDecision Class = iota
	// ClassState is a change of state: start, stop, reload, a dependency lost or
	// recovered, a changed status of another host or server.
	ClassState
	// ClassEnd is the last line of a request.
	ClassEnd
	classCount
)

// String returns the name of the class in the log and in metrics.
func (c Class) String() string { return [classCount]string{"decision", "state", "end"}[c] }

// line is one log line before it is rendered.
type line struct {
	time    time.Time
	class   Class
	level   log.Level
	message string
	fields  []any
	// refusal is nil unless the line is a refusal, which may be folded.
	refusal *Refusal
}

// Refusal identifies a refused request. Refusals with the same message, organisation,
// tier and reason are of one kind.
type Refusal struct {
	Request      string
	Organisation string
	Tier         string
	Reason       string
}

// sink receives lines. close waits at most limit for queued lines to be written.
type sink interface {
	put(line)
	close(limit time.Duration)
}

// Logger writes log lines. It is safe for concurrent use. Unless it was made by
// NewDirect, only Close waits for the reader of the log.
type Logger struct {
	sink  sink
	level log.Level
	drops *dropCounts
}

// Config describes a Logger.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// Settings holds the level, the format and the limit of bytes per second.
	Settings settings.Log
}

// New returns a Logger and starts its writer goroutine, which Close stops. It fails
// if the settings name an unknown level.
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

// NewDirect returns a Logger that writes each line synchronously and without a limit.
// It is for tests and interactive output.
func NewDirect(w io.Writer) *Logger {
	return &Logger{sink: newDirectSink(w), level: log.InfoLevel, drops: &dropCounts{}}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return NewDirect(io.Discard) }

// Debug logs a change of state that is useful to developers only.
func (l *Logger) Debug(message string, fields ...any) { l.state(log.DebugLevel, message, fields) }

// Info logs a change of state.
func (l *Logger) Info(message string, fields ...any) { l.state(log.InfoLevel, message, fields) }

// Warn logs a change of state that may need an operator's attention.
func (l *Logger) Warn(message string, fields ...any) { l.state(log.WarnLevel, message, fields) }

// Error logs a failure.
func (l *Logger) Error(message string, fields ...any) { l.state(log.ErrorLevel, message, fields) }

func (l *Logger) state(level log.Level, message string, fields []any) {
	l.put(line{time: time.Now(), class: ClassState, level: level, message: message, fields: fields})
}

// Decision logs a step of a request that happened at the given time.
func (l *Logger) Decision(at time.Time, message string, fields ...any) {
	l.put(line{time: at, class: ClassDecision, level: log.InfoLevel, message: message, fields: fields})
}

// End logs the last line of a request, which ended at the given time.
func (l *Logger) End(at time.Time, message string, fields ...any) {
	l.put(line{time: at, class: ClassEnd, level: log.InfoLevel, message: message, fields: fields})
}

// Refuse logs that a request was refused at the given time. Under load, lines with
// the same message, organisation, tier and reason are folded into one.
func (l *Logger) Refuse(at time.Time, r Refusal, message string, fields ...any) {
	l.put(line{time: at, class: ClassEnd, level: log.InfoLevel, message: message, fields: fields, refusal: &r})
}

func (l *Logger) put(n line) {
	if n.level >= l.level {
		l.sink.put(n)
	}
}

// OnDrop sets a function that is called for each dropped line, for metrics. It may be
// called from any goroutine that logs.
func (l *Logger) OnDrop(observe func(c Class, lines int)) { l.drops.observe.Store(&observe) }

// StandardLog returns a standard library logger whose lines are logged as warnings,
// with the field "part" set to the given component of the process.
func (l *Logger) StandardLog(part string) *stdlog.Logger {
	return stdlog.New(&standardWriter{logger: l, part: part}, "", 0)
}

// standardWriter logs each write of a standard library logger as one line.
type standardWriter struct {
	logger *Logger
	part   string
}

func (w *standardWriter) Write(text []byte) (int, error) {
	w.logger.Warn(strings.TrimSpace(string(text)), "part", w.part)
	return len(text), nil
}

// Close writes the queued lines and stops the writer. It waits at most limit. Lines
// logged later are lost.
func (l *Logger) Close(limit time.Duration) { l.sink.close(limit) }

// dropCounts counts dropped lines by class since the last call of take.
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

// take returns the counts by class and resets them; ok is false if all were zero.
func (d *dropCounts) take() (counts [classCount]int64, ok bool) {
	for c := range d.lines {
		counts[c] = d.lines[c].Swap(0)
		ok = ok || counts[c] > 0
	}
	return counts, ok
}

// restore adds back counts that were taken but could not be logged.
func (d *dropCounts) restore(counts [classCount]int64) {
	for c, n := range counts {
		d.lines[c].Add(n)
	}
}
