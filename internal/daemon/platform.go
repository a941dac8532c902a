package daemon

import (
	"context"
	"errors"
	"time"

	"mimosafront/internal/backend"
	"mimosafront/internal/confsource"
	"mimosafront/internal/control"
	"mimosafront/internal/discovery"
	"mimosafront/internal/epoch"
	"mimosafront/internal/evacuation"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/front"
	"mimosafront/internal/member"
	"mimosafront/internal/placement"
	"mimosafront/internal/policy"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// sourcePlatform is the source name of policies that the platform published.
const sourcePlatform = "platform"

// maxPolicyReadDelay is short against the time in which a policy must be in force on
// all hosts, so that most of that time remains for fetching and checking it.
const maxPolicyReadDelay = 2 * time.Second

// policyFetchDelay is the longest pause between two policy reads of a host that reads
// each policy from the store. A host that fetched a policy from a peer within that
// time would decode the same policy twice.
const policyFetchDelay = time.Second

// Adapter implements the protocol of a platform other than the project's
// configuration service.
type Adapter struct {
	// Headers names the headers of requests on routes.
	Headers *front.RouteHeaders
	// Source returns a reader of the policies and servers that the platform publishes.
	Source func(s settings.Platform, logger *eventlog.Logger) discovery.Source
}

// usesAdapter reports whether the platform is reached through the adapter.
func (d *Daemon) usesAdapter() bool {
	return d.config.Adapter != nil && d.config.Settings.Platform.Protocol == settings.PlatformProtocolStore
}

func (d *Daemon) routeHeaders() *front.RouteHeaders {
	if !d.usesAdapter() {
		return nil
	}
	return d.config.Adapter.Headers
}

// serversKnown returns the check whether the backend servers have been discovered. It is
// nil without an adapter, because policies name the servers then.
func (d *Daemon) serversKnown() func() bool {
	if !d.usesAdapter() {
		return nil
	}
	return d.policies.ServersKnown
}

// loadReader returns the reader of engine load reports. It is nil with an adapter,
// because those engines speak the platform's protocol.
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

// engines returns the client that loads models on engines. It is nil with an
// adapter, because that platform places models itself.
func (d *Daemon) engines() control.Engines {
	if d.usesAdapter() {
		return nil
	}
	return placement.NewSender(d.config.Logger)
}

// runAdapter applies the policies and servers that the adapter's source publishes.
func (d *Daemon) runAdapter(ctx context.Context) {
	source := d.config.Adapter.Source(d.config.Settings.Platform, d.config.Logger)
	sink := discovery.Sink{
		Policy: d.applyPolicy, Servers: d.applyServers, Leaving: d.applyLeaving, Cold: d.control.RegisteredCold,
		Evacuated: d.applyEvacuated, Read: d.control.StoreRead,
	}
	heartbeat := settings.Milliseconds(d.config.Settings.Platform.ServerHeartbeatMs)
	discovery.NewFollower(source, sink, d.storeReports, heartbeat, d.config.Logger).Run(ctx)
}

// applyPolicy parses a published policy file and puts it into force. A policy that
// is invalid or outdated is logged and ignored.
func (d *Daemon) applyPolicy(published discovery.PublishedPolicy) {
	p, err := policy.ParseFrom(d.policies.Current(), "platform", published.Text)
	if err != nil {
		d.config.Logger.Error("policy refused", "source", sourcePlatform, "revision", published.Revision,
			"in_force", d.policies.Version().Generation, "error", err)
		return
	}
	written := d.policyReads.written(p, published)
	var stale *policystore.StaleError
	switch err := d.policies.OfferWritten(p, sourcePlatform, written); {
	case errors.As(err, &stale):
		d.config.Logger.Warn("outdated policy of the store ignored", "generation", p.Generation, "written", written,
			"revision", published.Revision, "in_force", stale.InForce, "in_force_written", stale.InForceWritten)
	case err != nil:
		d.config.Logger.Error("policy refused", "source", sourcePlatform, "generation", p.Generation, "revision", published.Revision,
			"in_force", d.policies.Version().Generation, "error", err)
	default:
		d.config.Logger.Info("policy in force", "generation", p.Generation, "digest", p.Digest, "source", sourcePlatform,
			"written", written, "revision", published.Revision)
	}
}

// policyReads remembers the last policy that was read from the platform's store.
type policyReads struct {
	generation int
	digest     string
	last       discovery.PublishedPolicy
}

// written returns when a policy can have been written. A store never has a lower
// generation at a higher revision, or another content of one, unless it returned from an
// earlier copy in between: such a policy was written after that, although it may have been
// listed.
func (r *policyReads) written(p *policy.Policy, published discovery.PublishedPolicy) epoch.Span {
	written := published.Written
	if published.Revision > r.last.Revision && p.Generation <= r.generation && p.Digest != r.digest &&
		written.From < r.last.Written.End && r.last.Written.End < written.End {
		written.From = r.last.Written.End
	}
	r.generation, r.digest = p.Generation, p.Digest
	r.last = discovery.PublishedPolicy{Revision: published.Revision, Written: written}
	return written
}

// applyServers replaces the backend servers and closes connections to removed ones.
func (d *Daemon) applyServers(servers []policy.Server) {
	d.policies.SetServers(servers)
	d.front.RetainConnections(servers)
}

// applyLeaving shares the servers that are leaving with the other hosts.
func (d *Daemon) applyLeaving(servers []policy.Server) {
	if len(servers) > 0 {
		d.control.RegisteredLeaving(servers)
	}
}

// applyEvacuated puts into force which availability zones are evacuated.
func (d *Daemon) applyEvacuated(zones []string, epoch, revision int64) {
	d.control.EvacuationsRead(zones, evacuation.Order{Epoch: epoch, Revision: revision})
}

// runPlatform applies what the platform publishes, through the adapter or from the
// configuration service.
func (d *Daemon) runPlatform(ctx context.Context) {
	if d.usesAdapter() {
		d.runAdapter(ctx)
		return
	}
	client := confsource.New(confsource.Config{
		Platform:      d.config.Settings.Platform,
		Store:         d.policies,
		OnHosts:       d.applyHosts,
		MaxFetchDelay: d.policyReadDelay(),
		Logger:        d.config.Logger,
	})
	client.Run(ctx)
}

// policyReadDelay returns the longest delay before a new policy is read from the
// configuration service. Peers may deliver the policy within that time; a host
// without peers reads at once.
func (d *Daemon) policyReadDelay() time.Duration {
	if !expectsPeers(d.config.Settings) {
		return 0
	}
	return maxPolicyReadDelay
}

// policyFetchDelay returns how long the host waits for the platform to publish a
// policy that its peers already have, before it fetches the policy from them.
func (d *Daemon) policyFetchDelay() time.Duration {
	if d.usesAdapter() {
		return policyFetchDelay
	}
	return 0
}

// applyHosts converts the published host list and passes it to the control loop.
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
