package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"mimosafront/internal/standin/engine"
)

// tiers are the tiers of the policy, highest first.
var tiers = []string{"brief", "cataloguing", "caption"}

// organisations are those of the policy. Each has one caller of the same name.
var organisations = []string{"north", "south", "east"}

const (
	model   = "m"
	service = "registry"
	// keyPrefix followed by a caller's name is its bearer key.
	keyPrefix = "key-"
	// requestsPerEngineEven and requestsPerEngineOdd are an engine's max_requests for
	// even and odd generations, so that each policy differs from the one before.
	requestsPerEngineEven = 6
	requestsPerEngineOdd  = 8
	// deadline is the deadline of the callers' requests.
	deadline = 5 * time.Second
)

// engineConfig lets an engine generate 20 tokens within some tens of milliseconds.
var engineConfig = engine.Config{
	Models: []string{model}, PrefillTokensPerS: 40000, DecodeTokensPerS: 3000,
	MinStep: 4 * time.Millisecond, DownTime: time.Second,
}

// policyText returns the policy file of a generation.
func (f *fleet) policyText(generation int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[policy]\ngeneration = %d\n", generation)
	for rank, name := range tiers {
		fmt.Fprintf(&text, "[tier %s]\nrank = %d\ndeadline_ms = 5000\nmax_deadline_ms = 60000\n", name, rank)
	}
	for _, zone := range zoneNames {
		fmt.Fprintf(&text, "[zone %s]\nlink_ms = 1\n", zone)
	}
	for _, name := range organisations {
		sum := sha256.Sum256([]byte(keyPrefix + name))
		fmt.Fprintf(&text, "[organisation %s]\n[caller %s]\norganisation = %s\nkey_sha256 = %s\n", name, name, name, hex.EncodeToString(sum[:]))
	}
	fmt.Fprintf(&text, "[hardware h]\nprefill_tokens_per_s = 40000\ndecode_tokens_per_s = 3000\ntokens_in_flight = 8000\n")
	fmt.Fprintf(&text, "[model %s]\ncontext_tokens = 8192\noutput_tokens = 20\n", model)
	requests := requestsPerEngineEven
	if generation%2 == 1 {
		requests = requestsPerEngineOdd
	}
	for _, name := range engineNames {
		fmt.Fprintf(&text, "[server %s]\nkind = engine\nzone = %s\naddress = %s\nhardware = h\nmodels = %s\nmax_requests = %d\nholds_streams = true\n",
			name, name[:1], f.serverProxies[name].Addr(), model, requests)
	}
	fmt.Fprintf(&text, "[service %s]\noperations = ticket_or_key\n", service)
	for _, zone := range zoneNames {
		fmt.Fprintf(&text, "[server %s]\nkind = service\nzone = %s\naddress = %s\nservices = %s\nchecks_fencing = true\n",
			registryName(zone), zone, f.serverProxies[registryName(zone)].Addr(), service)
	}
	return text.String()
}

func registryName(zone string) string { return zone + "-r1" }

// settingsText returns the settings file of a host.
func (f *fleet) settingsText(h *host) string {
	var seeds []string
	for _, other := range hostNames {
		if other != h.name {
			seeds = append(seeds, f.links.Addr(h.name, other))
		}
	}
	address, platformText, schedulerText := f.platform.Address(), "", ""
	if f.store != nil {
		address = f.storeServer.Address()
		platformText, schedulerText = storeSettings()
	}
	return fmt.Sprintf(`[node]
name = %s
zone = %s
[front]
listen = %s
admin_listen = %s
drain_timeout_ms = 30000
stream_idle_timeout_ms = 3000
[peer]
insecure = true
listen = %s
advertise = %s
seeds = %s
heartbeat_ms = 100
suspect_ms = 700
dead_ms = 1500
[platform]
%saddress = %s
reads_per_second = 20
timeout_ms = 1000
[scheduler]
grant_lifetime_ms = 500
max_waiting = 16
%s[log]
level = info
max_bytes_per_second = 1073741824
`, h.name, h.zone(), h.front, h.admin, h.peer, f.links.UnresponsiveAddr(), strings.Join(seeds, ","), platformText, address, schedulerText)
}
