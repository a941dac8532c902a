// Package metrics defines the metrics of an entry host and exposes them in the
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

// prefix is the common prefix of all metric names.
const prefix = "mimosafront"

// reportInterval is the interval at which the exposed values are updated.
const reportInterval = time.Second

// Root holds the root scope of a process and the reporter that exposes its metrics.
type Root struct {
	Scope    tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer
}

// NewRoot returns the root scope of a process, with the Go runtime and process
// collectors. A metric that cannot be registered is reported to onError and not
// exposed.
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

// Handler returns the HTTP handler that serves the metrics.
func (r *Root) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close stops updating the exposed values.
func (r *Root) Close() error { return r.closer.Close() }
