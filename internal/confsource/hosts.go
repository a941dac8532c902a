package confsource

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
)

// HostKind says what runs on a published host.
type HostKind string

// The kinds of hosts.
const (
	HostKindEntry   HostKind = "entry"
	HostKindBackend HostKind = "backend"
)

// HostState is the published state of a host.
type HostState string

// The states of hosts.
const (
	HostStateLive    HostState = "live"
	HostStateLeaving HostState = "leaving"
)

// maxHosts bounds a host list.
const maxHosts = 100_000

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList struct {
	// Version grows with each published list.
	Version int    `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Host is one entry of a HostList.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is ip:port.
	Address string    `json:"address"`
	Kind    HostKind  `json:"kind"`
	State   HostState `json:"state"`
}

// acceptHosts passes a newer list on. Older lists change nothing.
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

// validate refuses a list as a whole if one of its entries is malformed.
func (l HostList) validate() error {
	if l.Version < 1 || len(l.Hosts) > maxHosts {
		return fmt.Errorf("host list: version %d with %d hosts", l.Version, len(l.Hosts))
	}
	names := map[string]bool{}
	for _, host := range l.Hosts {
		address, port, err := net.SplitHostPort(host.Address)
		switch {
		case host.Name == "" || names[host.Name]:
			return fmt.Errorf("host list: name %q is empty or stands twice", host.Name)
		case host.Kind != HostKindEntry && host.Kind != HostKindBackend:
			return fmt.Errorf("host list: %s has kind %q", host.Name, host.Kind)
		case host.State != HostStateLive && host.State != HostStateLeaving:
			return fmt.Errorf("host list: %s has state %q", host.Name, host.State)
		case err != nil || net.ParseIP(address) == nil || port == "":
			return fmt.Errorf("host list: %s has address %q, want ip:port", host.Name, host.Address)
		}
		names[host.Name] = true
	}
	return nil
}
