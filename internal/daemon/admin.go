package daemon

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// adminHeaderTimeout bounds the arrival of an operator's request header.
const adminHeaderTimeout = 5 * time.Second

// adminHandler serves operators: metrics, health and status.
func (d *Daemon) adminHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", d.metrics.Handler())
	router.HandlerFunc(http.MethodGet, "/status", d.serveStatus)
	router.HandlerFunc(http.MethodGet, "/healthz", d.front.ServeHealth)
	router.HandlerFunc(http.MethodGet, "/readyz", d.front.ServeReady)
	return router
}

// readyHandler serves the readiness check alone.
func (d *Daemon) readyHandler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, d.config.Settings.Front.ReadyPath, d.front.ServeReady)
	return router
}
