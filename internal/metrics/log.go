package metrics

import (
	"github.com/uber-go/tally/v4"

	"mimosafront/internal/eventlog"
)

// Log counts what the log of a process dropped.
type Log struct{ scope tally.Scope }

// NewLog returns the metrics of a log.
func NewLog(scope tally.Scope) *Log { return &Log{scope: scope} }

// Dropped counts lines of a class that were not written.
func (l *Log) Dropped(c eventlog.Class, lines int) {
	l.scope.Tagged(map[string]string{"class": c.String()}).Counter("log_lines_dropped").Inc(int64(lines))
}
