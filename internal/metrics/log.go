package metrics

import (
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/eventlog"
)

// Log counts the lines that the log of a process dropped. It is safe for concurrent
// use.
type Log struct{ scope tally.Scope }

// NewLog returns the metrics of a log, in the given scope.
func NewLog(scope tally.Scope) *Log { return &Log{scope: scope} }

// Dropped counts dropped lines of a class.
func (l *Log) Dropped(c eventlog.Class, lines int) {
	l.scope.Tagged(map[string]string{"class": c.String()}).Counter("log_lines_dropped").Inc(int64(lines))
}
