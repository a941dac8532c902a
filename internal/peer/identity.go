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

// certificatePollInterval is how often the certificate files are looked at.
const certificatePollInterval = time.Second

// identity holds the own certificate and the authority of the others. It reads
// the files again when they change; files that don't fit together change
// nothing.
type identity struct {
	settings settings.Peer
	logger   *eventlog.Logger
	current  atomic.Pointer[credentials]
}

// credentials are one consistent reading of the files.
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
		return nil, errors.New(i.settings.CaFile + " holds no certificate")
	}
	return &credentials{certificate: certificate, authority: authority, modified: modified}, nil
}

// watch reads the files again when one of them changes.
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
		i.logger.Info("certificates of peer links read again")
	}
}

// listenTLS wraps a listener in TLS that requires a certificate of the authority.
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

// clientConfig verifies the server's chain. The name is compared with the hello
// later: hosts are dialed by IP number, and a seed's name is not known before.
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

// certificateNames returns the names that a peer's certificate proves.
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
