package confsource

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
)

// HostKind is the role of a published host.
type HostKind string

// Roles of hosts: entry hosts and backend servers.
const (
	HostKindEntry   HostKind = "entry"
	HostKindBackend HostKind = "backend"
)

// HostState is the published state of a host.
type HostState string

// States of hosts.
const (
	HostStateLive    HostState = "live"
	HostStateLeaving HostState = "leaving"
)

// maxHosts is the largest accepted number of hosts in a list.
const maxHosts = 100_000

// HostList is the platform's list of live and leaving hosts. It lags behind the
// actual state of the hosts.
type HostList struct {
	// Version increases with each published list and is at least 1.
	Version int    `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Host describes one host of a HostList.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address has the form ip:port.
	Address string    `json:"address"`
	Kind    HostKind  `json:"kind"`
	State   HostState `json:"state"`
}

// acceptHosts calls OnHosts with a list of a higher version than the last accepted
// one and ignores other lists.
func (c *Client) acceptHosts(_ context.Context, body []byte) error {
	var list HostList
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("host list: %w", err)
	}
	if err := list.validate(); err != nil {
		return err
	}
	if list.Version <= c.hostsVersion {
		if list.Version < c.hostsVersion {
			c.config.Logger.Warn("host list is stale", "version", list.Version, "known", c.hostsVersion)
		}
		return nil
	}
	c.hostsVersion = list.Version
	c.config.Logger.Info("host list", "version", list.Version, "hosts", len(list.Hosts))
	if c.config.OnHosts != nil {
		c.config.OnHosts(list)
	}
	return nil
}

// validate returns an error if any entry of the list is malformed or a name is
// repeated, so that a list is accepted as a whole or not at all.
func (l HostList) validate() error {
	if l.Version < 1 || len(l.Hosts) > maxHosts {
		return fmt.Errorf("host list: version %d or number of hosts %d is out of range", l.Version, len(l.Hosts))
	}
	names := map[string]bool{}
	for _, host := range l.Hosts {
		address, port, err := net.SplitHostPort(host.Address)
		switch {
		case host.Name == "" || names[host.Name]:
			return fmt.Errorf("host list: name %q is empty or duplicate", host.Name)
		case host.Kind != HostKindEntry && host.Kind != HostKindBackend:
			return fmt.Errorf("host list: %s has unknown kind %q", host.Name, host.Kind)
		case host.State != HostStateLive && host.State != HostStateLeaving:
			return fmt.Errorf("host list: %s has unknown state %q", host.Name, host.State)
		case err != nil || net.ParseIP(address) == nil || port == "":
			return fmt.Errorf("host list: %s has address %q, want ip:port", host.Name, host.Address)
		}
		names[host.Name] = true
	}
	return nil
}
