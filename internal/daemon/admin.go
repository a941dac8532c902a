package daemon

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// adminHeaderTimeout bounds the time to read a request header on the admin and
// readiness listeners.
const adminHeaderTimeout = 5 * time.Second

// adminHandler serves the admin listener: metrics, status, health and readiness.
func (d *Daemon) adminHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", d.metrics.Handler())
	router.HandlerFunc(http.MethodGet, "/status", d.serveStatus)
	router.HandlerFunc(http.MethodPost, "/explain", d.serveExplain)
	router.HandlerFunc(http.MethodGet, "/healthz", d.front.ServeHealth)
	router.HandlerFunc(http.MethodGet, "/readyz", d.front.ServeReady)
	return router
}

// readyHandler serves only the readiness check, at the configured path.
func (d *Daemon) readyHandler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, d.config.Settings.Front.ReadyPath, d.front.ServeReady)
	return router
}
