package daemon

import (
	"context"
	"time"

	"mimosafront/internal/confsource"
	"mimosafront/internal/member"
)

// policySpread leaves most of the time in which a policy must be in force
// everywhere to its fetch and check.
const policySpread = 2 * time.Second

// runPlatform follows the configuration service, if the settings name one.
func (d *Daemon) runPlatform(ctx context.Context) {
	client := confsource.New(confsource.Config{
		Platform: d.config.Settings.Platform,
		Store:    d.policies,
		OnHosts:  d.takeHosts,
		Spread:   d.policySpread(),
		Logger:   d.config.Logger,
	})
	client.Run(ctx)
}

// policySpread is the longest delay before a new policy is read, in which peers
// may pass it on. A host without peers reads at once.
func (d *Daemon) policySpread() time.Duration {
	if !expectsPeers(d.config.Settings) {
		return 0
	}
	return policySpread
}

// takeHosts passes the published host list on to the control state.
func (d *Daemon) takeHosts(list confsource.HostList) {
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
