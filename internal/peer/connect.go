package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
)

// compressionThreshold is the minimum size in bytes of frames that are compressed:
// smaller frames shrink too little for the CPU time. Each frame is compressed
// separately because a sliding window kept per link would take 1.2 MB a link.
const compressionThreshold = 256

// newServer returns the HTTP server of the peer listener, which serves only WebSocket
// handshakes at endpointPath. It wraps the listener in TLS if links are authenticated.
func (l *Links) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(endpointPath, l.accept)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: handshakeTimeout,
		IdleTimeout:       handshakeTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          l.config.Logger.StandardLog("peer links"),
	}
	if l.identity != nil {
		l.listener = l.identity.listenTLS(l.listener)
	}
	return server
}

func (l *Links) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		l.counters.rejected()
		return
	}
	l.mu.Lock()
	ctx := l.ctx
	l.mu.Unlock()
	l.serve(ctx, conn, 0, certificateNames(r.TLS), "", func(string, error) {})
}

// connect opens a link to an address and returns the name of the host at the other end.
// If wantHost isn't empty, another host is an error. The link runs in its own goroutine
// until ctx ends.
func (l *Links) connect(ctx context.Context, address, wantHost string) (string, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if l.identity != nil {
		scheme = "wss://"
	}
	client, closeIdle := l.newClient()
	conn, response, err := websocket.Dial(dialCtx, scheme+address+endpointPath, &websocket.DialOptions{
		HTTPClient:           client,
		CompressionMode:      websocket.CompressionNoContextTakeover,
		CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		closeIdle()
		return "", err
	}
	type result struct {
		host string
		err  error
	}
	opened := make(chan result, 1)
	names := certificateNames(response.TLS)
	generation := l.nextGeneration(wantHost)
	l.wg.Go(func() {
		defer closeIdle()
		l.serve(ctx, conn, generation, names, wantHost, func(host string, err error) { opened <- result{host, err} })
	})
	r := <-opened
	return r.host, r.err
}

// newClient returns an HTTP client for one handshake and a function that closes its
// idle connections.
func (l *Links) newClient() (*http.Client, func()) {
	transport := &http.Transport{
		DialContext:         l.config.Network.DialContext,
		DisableKeepAlives:   true,
		TLSHandshakeTimeout: handshakeTimeout,
		IdleConnTimeout:     time.Second,
	}
	if l.identity != nil {
		transport.TLSClientConfig = l.identity.clientConfig()
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}
