// Package confsource follows the platform's configuration service, where operators
// publish the policy and the list of hosts.
//
// The service offers versioned values by key, long-poll watches and no writes. It
// may be down, stale, slow, return to an older state or send malformed values; such
// faults only delay an update. The policy generation in force and the version of the
// host list never decrease. Calls are limited by a token bucket, and failed calls are
// repeated with exponential backoff and jitter.
package confsource

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/message"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
	"mimosafront/internal/sleep"
)

// Keys of the configuration service.
const (
	KeyManifest = "policy/manifest"
	KeyHosts    = "hosts"
	// KeySectionPrefix and the digest of a section are the section's key.
	KeySectionPrefix = "policy/section/"
)

const (
	// maxValueBytes is the size limit of a value in the service.
	maxValueBytes = 1 << 20
	// readBurst is the size of the token bucket that limits reads.
	readBurst = 32
	// maxStartDelay bounds the random delay before the first read, which spreads
	// the reads of hosts that start together.
	maxStartDelay = 250 * time.Millisecond
)

// sourceName is the source under which policies are offered to the store.
const sourceName = "platform"

// Config configures a Client. Store is required.
type Config struct {
	// Platform holds the address of the service, the timeouts and the rate limit.
	Platform settings.Platform
	Store    *policystore.Store
	// MaxFetchDelay bounds the random delay between the notification of a new
	// manifest and the fetch of its sections. During the delay most hosts receive
	// the policy from a peer and then fetch nothing. 0 fetches at once.
	MaxFetchDelay time.Duration
	// OnHosts is called with each host list of a higher version. It may be nil.
	OnHosts func(HostList)
	// Logger may be nil; nothing is logged then.
	Logger *eventlog.Logger
	// HTTP may be nil for a default client.
	HTTP *http.Client
}

// Client follows the policy manifest and the host list of the configuration
// service. Its methods are safe for concurrent use.
type Client struct {
	config  Config
	limiter *rate.Limiter
	// lastContact is in Unix milliseconds; 0 before the first answer.
	lastContact atomic.Int64
	reads       atomic.Int64
	// hostsVersion is the version of the last accepted host list.
	hostsVersion int
}

// New returns a Client. Run starts it.
func New(c Config) *Client {
	if c.Logger == nil {
		c.Logger = eventlog.Discard()
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	}
	return &Client{config: c, limiter: rate.NewLimiter(rate.Limit(c.Platform.ReadsPerSecond), readBurst)}
}

// Run follows the service until ctx ends. It returns at once if the settings
// contain no address of a service.
func (c *Client) Run(ctx context.Context) {
	if c.config.Platform.Address == "" {
		return
	}
	if !sleep.For(ctx, rand.N(maxStartDelay)) {
		return
	}
	var loops conc.WaitGroup
	loops.Go(func() { c.follow(ctx, KeyManifest, c.acceptManifest) })
	loops.Go(func() { c.follow(ctx, KeyHosts, c.acceptHosts) })
	loops.Wait()
}

// LastContact returns the time of the last successful read or watch, with
// millisecond precision, or the zero time before the first one.
func (c *Client) LastContact() time.Time {
	ms := c.lastContact.Load()
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// Reads returns the number of reads and watches sent to the service so far.
func (c *Client) Reads() int { return int(c.reads.Load()) }

// acceptManifest fetches the missing sections of a manifest and offers the assembled
// policy to the store. An error requests another attempt. An invalid policy is logged
// and returns nil, because a retry would fail again.
func (c *Client) acceptManifest(ctx context.Context, body []byte) error {
	var m message.PolicyManifest
	if err := json.Unmarshal(body, &m); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	if err := checkManifest(m); err != nil {
		return err
	}
	if c.needsNoFetch(m) {
		return nil
	}
	if c.config.MaxFetchDelay > 0 && !sleep.For(ctx, rand.N(c.config.MaxFetchDelay)) || c.needsNoFetch(m) {
		return ctx.Err()
	}
	fetched, err := c.fetchSections(ctx, m)
	if err != nil {
		return err
	}
	p, err := c.config.Store.Assemble(m, fetched)
	if err == nil {
		err = c.config.Store.Offer(p, sourceName)
	}
	if err != nil {
		c.config.Logger.Error("policy refused", "generation", m.Generation, "error", err)
		return nil
	}
	c.config.Logger.Info("policy in force", "generation", m.Generation, "digest", m.Digest, "source", sourceName, "fetched", len(fetched))
	return nil
}

// needsNoFetch reports whether a manifest is the one in force or older.
func (c *Client) needsNoFetch(m message.PolicyManifest) bool {
	inForce := c.config.Store.Manifest()
	if m.Generation < inForce.Generation {
		c.config.Logger.Warn("configuration service is stale", "generation", m.Generation, "in_force", inForce.Generation)
		return true
	}
	return m.Generation == inForce.Generation && m.Digest == inForce.Digest
}

// fetchSections reads the sections that are not part of the policy in force.
func (c *Client) fetchSections(ctx context.Context, m message.PolicyManifest) ([]message.PolicySection, error) {
	var fetched []message.PolicySection
	for _, digest := range c.config.Store.Missing(m) {
		text, err := c.readSection(ctx, digest)
		if err != nil {
			return nil, err
		}
		fetched = append(fetched, message.PolicySection{Digest: digest, Text: text})
	}
	return fetched, nil
}
