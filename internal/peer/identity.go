package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/settings"
	"mimosafront/internal/sleep"
)

// certificatePollInterval is the interval of checks for changed certificate files.
const certificatePollInterval = time.Second

// identity holds this host's certificate and the certificate authority of all hosts. It
// reloads the files when they change. The earlier credentials stay in use if the new
// files are inconsistent, such as a key that doesn't match the certificate.
type identity struct {
	settings settings.Peer
	logger   *eventlog.Logger
	current  atomic.Pointer[credentials]
}

// credentials are the contents of a consistent set of files. modified has the files'
// modification times.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modified    []time.Time
}

func newIdentity(s settings.Peer, logger *eventlog.Logger) (*identity, error) {
	i := &identity{settings: s, logger: logger}
	c, err := i.load()
	if err != nil {
		return nil, fmt.Errorf("certificates of peer links: %w", err)
	}
	i.current.Store(c)
	return i, nil
}

func (i *identity) files() []string {
	return []string{i.settings.CaFile, i.settings.CertificateFile, i.settings.KeyFile}
}

func (i *identity) modified() ([]time.Time, error) {
	var times []time.Time
	for _, name := range i.files() {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		times = append(times, info.ModTime())
	}
	return times, nil
}

func (i *identity) load() (*credentials, error) {
	modified, err := i.modified()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(i.settings.CertificateFile, i.settings.KeyFile)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(i.settings.CaFile)
	if err != nil {
		return nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, errors.New(i.settings.CaFile + " contains no certificate")
	}
	return &credentials{certificate: certificate, authority: authority, modified: modified}, nil
}

// watch reloads the files when one of them changes, until ctx ends.
func (i *identity) watch(ctx context.Context) {
	for sleep.For(ctx, certificatePollInterval) {
		modified, err := i.modified()
		if err != nil || slices.EqualFunc(modified, i.current.Load().modified, time.Time.Equal) {
			continue
		}
		c, err := i.load()
		if err != nil {
			i.logger.Warn("changed certificates not taken", "error", err)
			continue
		}
		i.current.Store(c)
		i.logger.Info("certificates of peer links reloaded")
	}
}

// listenTLS wraps a listener in TLS. Clients must present a certificate that the
// authority signed. Each handshake uses the current credentials.
func (i *identity) listenTLS(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := i.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{c.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.authority,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	})
}

// clientConfig returns a TLS configuration that verifies the server's certificate chain
// but not its name: hosts are dialed by IP address, and the host at a seed address isn't
// known in advance. checkHello compares the name in the hello with the certificate.
func (i *identity) clientConfig() *tls.Config {
	c := i.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{c.certificate},
		InsecureSkipVerify: true,
		NextProtos:         []string{"http/1.1"},
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, c.authority) },
	}
}

// verifyChain checks that the authority signed the peer's certificate.
func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	options := x509.VerifyOptions{Roots: authority, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// certificateNames returns the DNS names of a peer's certificate, or its common name if
// it has none. The result is nil without TLS.
func certificateNames(state *tls.ConnectionState) []string {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	c := state.PeerCertificates[0]
	if len(c.DNSNames) > 0 {
		return c.DNSNames
	}
	return []string{c.Subject.CommonName}
}
