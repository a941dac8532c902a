// Package metrics counts what an entry host does and exposes it in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// prefix begins the name of each metric.
const prefix = "mimosafront"

// reportInterval is the time between two updates of the exposed values.
const reportInterval = time.Second

// Root is the scope of one process and its exposition.
type Root struct {
	Scope    tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer
}

// NewRoot returns the scope of a process. A metric that can't be exposed is
// reported to onError and stays hidden.
func NewRoot(onError func(error)) *Root {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, OnRegisterError: onError})
	sanitizer := tallyprom.DefaultSanitizerOpts
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Root{Scope: scope, reporter: reporter, closer: closer}
}

// Handler serves the metrics.
func (r *Root) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close stops the updates.
func (r *Root) Close() error { return r.closer.Close() }
