package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"

	"mimosafront/internal/daemon"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/standin/service"
)

// settingsFormat are the settings of an entry host on free loopback ports.
const settingsFormat = `
[node]
name = %s-entry-1
zone = %s
policy_file = built-in
[front]
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
insecure = true
`

// site is the entry host of one association and its backend servers.
type site struct {
	plan     plan
	policy   *policy.Policy
	daemon   *daemon.Daemon
	client   *client
	url      string
	adminURL string
	closers  []func()
}

// startSite starts a stand-in for each backend server of the policy and an
// entry host that uses them.
func startSite(ctx context.Context, p plan, logger *eventlog.Logger) (*site, error) {
	s := &site{plan: p}
	inForce, err := s.startServers(p.policy)
	if err != nil {
		s.stop()
		return nil, err
	}
	parsed, err := settings.Parse("demo", fmt.Appendf(nil, settingsFormat, p.name, p.zone))
	if err != nil {
		s.stop()
		return nil, err
	}
	s.policy = inForce
	s.daemon = daemon.New(daemon.Config{Settings: parsed, Logger: logger, Policy: inForce})
	if err := s.daemon.Start(ctx); err != nil {
		s.daemon = nil
		s.stop()
		return nil, err
	}
	s.url = "http://" + s.daemon.Address()
	s.adminURL = "http://" + s.daemon.AdminAddress()
	s.client = &client{http: newHTTPClient(), url: s.url, model: p.model}
	return s, nil
}

// startServers starts the stand-ins and returns the policy with their
// addresses.
func (s *site) startServers(text []byte) (*policy.Policy, error) {
	p, err := policy.Parse("example", text)
	if err != nil {
		return nil, err
	}
	for _, server := range p.Servers {
		address, err := s.startServer(p, server)
		if err != nil {
			return nil, err
		}
		text = bytes.Replace(text, []byte(server.Address+"\n"), []byte(address+"\n"), 1)
	}
	return policy.Parse("example", text)
}

func (s *site) startServer(p *policy.Policy, server policy.Server) (string, error) {
	if server.Kind == policy.ServerKindService {
		standin := service.New(service.Config{Name: server.Name, ChecksFencing: server.ChecksFencing})
		s.closers = append(s.closers, standin.Close)
		err := standin.Start("")
		return standin.Address(), err
	}
	hardware := p.Hardware[server.Hardware]
	standin := engine.New(engine.Config{
		Name:              server.Name,
		Models:            server.Targets(),
		PrefillTokensPerS: hardware.PrefillTokensPerS,
		DecodeTokensPerS:  hardware.DecodeTokensPerS,
		ChecksFencing:     server.ChecksFencing,
	})
	s.closers = append(s.closers, standin.Close)
	err := standin.Start("")
	return standin.Address(), err
}

// organisation returns the organisation of a caller.
func (s *site) organisation(caller string) string {
	if known, ok := s.policy.Callers[caller]; ok {
		return known.Organisation
	}
	return "-"
}

// stop ends the entry host gracefully, then its backend servers.
func (s *site) stop() {
	if s.daemon != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.daemon.Stop(ctx)
	}
	for _, closeServer := range s.closers {
		closeServer()
	}
}

// lockedWriter keeps the lines of several goroutines apart.
type lockedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writer.Write(p)
}
