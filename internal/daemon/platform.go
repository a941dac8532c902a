package daemon

import (
	"context"
	"time"

	"mimosafront/internal/backend"
	"mimosafront/internal/confsource"
	"mimosafront/internal/control"
	"mimosafront/internal/discovery"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/front"
	"mimosafront/internal/member"
	"mimosafront/internal/placement"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// sourcePlatform names the platform as the source of a policy.
const sourcePlatform = "platform"

// maxPolicyReadDelay leaves most of the time in which a policy must be in force
// everywhere to its fetch and check.
const maxPolicyReadDelay = 2 * time.Second

// policyFetchDelay leaves a host that reads each policy itself the time to do so: its
// longest pause between two reads. Hosts that ask
// one another for each change decode it twice.
const policyFetchDelay = time.Second

// Adapter speaks the protocol of a platform that is not the project's own.
type Adapter struct {
	// Headers are those of requests on routes.
	Headers *front.RouteHeaders
	// Source reads what the platform publishes.
	Source func(s settings.Platform, logger *eventlog.Logger) discovery.Source
}

// usesAdapter reports whether the platform speaks a protocol of its own.
func (d *Daemon) usesAdapter() bool {
	return d.config.Adapter != nil && d.config.Settings.Platform.Protocol == settings.PlatformProtocolStore
}

func (d *Daemon) routeHeaders() *front.RouteHeaders {
	if !d.usesAdapter() {
		return nil
	}
	return d.config.Adapter.Headers
}

// loadReader returns what reads the load reports of engines; nil for engines that
// speak the platform's protocol.
func (d *Daemon) loadReader() control.LoadReader {
	if d.usesAdapter() {
		return nil
	}
	s := d.config.Settings.Front
	return &backend.Engine{Dialer: backend.Dialer{
		ConnectTimeout: settings.Milliseconds(s.ConnectTimeoutMs),
		IdleTimeout:    settings.Milliseconds(s.StreamIdleTimeoutMs),
	}}
}

// engines returns what places models on engines; nil where the platform does.
func (d *Daemon) engines() control.Engines {
	if d.usesAdapter() {
		return nil
	}
	return placement.NewSender(d.config.Logger)
}

// runAdapter follows what a platform with a protocol of its own publishes.
func (d *Daemon) runAdapter(ctx context.Context) {
	source := d.config.Adapter.Source(d.config.Settings.Platform, d.config.Logger)
	sink := discovery.Sink{Policy: d.applyPolicy, Servers: d.applyServers}
	discovery.NewFollower(source, sink, d.config.Logger).Run(ctx)
}

// applyPolicy puts a published policy file into force.
func (d *Daemon) applyPolicy(text []byte) {
	p, err := policy.ParseAfter(d.policies.Current(), "platform", text)
	if err == nil {
		err = d.policies.Offer(p, sourcePlatform)
	}
	if err != nil {
		d.config.Logger.Error("policy refused", "source", sourcePlatform, "error", err)
		return
	}
	d.config.Logger.Info("policy in force", "generation", p.Generation, "digest", p.Digest, "source", sourcePlatform)
}

// applyServers replaces the backend servers.
func (d *Daemon) applyServers(servers []policy.Server) {
	d.policies.SetServers(servers)
	d.front.RetainConnections(servers)
}

// runPlatform follows what the platform publishes, if the settings name one.
func (d *Daemon) runPlatform(ctx context.Context) {
	if d.usesAdapter() {
		d.runAdapter(ctx)
		return
	}
	client := confsource.New(confsource.Config{
		Platform: d.config.Settings.Platform,
		Store:    d.policies,
		OnHosts:  d.applyHosts,
		Spread:   d.policyReadDelay(),
		Logger:   d.config.Logger,
	})
	client.Run(ctx)
}

// maxPolicyReadDelay is the longest delay before a new policy is read, in which peers
// may pass it on. A host without peers reads at once.
func (d *Daemon) policyReadDelay() time.Duration {
	if !expectsPeers(d.config.Settings) {
		return 0
	}
	return maxPolicyReadDelay
}

// policyFetchDelay returns how long a policy that others have is left to the platform.
func (d *Daemon) policyFetchDelay() time.Duration {
	if d.usesAdapter() {
		return policyFetchDelay
	}
	return 0
}

// applyHosts passes the published host list on to the control state.
func (d *Daemon) applyHosts(list confsource.HostList) {
	hosts := make([]member.PublishedHost, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		hosts = append(hosts, member.PublishedHost{
			Name:    host.Name,
			Zone:    host.Zone,
			Address: host.Address,
			Entry:   host.Kind == confsource.HostKindEntry,
			Leaving: host.State == confsource.HostStateLeaving,
		})
	}
	d.control.UpdateHosts(list.Version, hosts)
}
