// Package confsource reads what operators publish to the platform's
// configuration service: the policy and the list of hosts.
//
// The service can only be read and watched. It may be down, stale, slow, go back
// in time or answer with garbage; none of these changes what is in force, except
// that news arrive later. Generations and list versions never go down.
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
	// KeySectionPrefix is followed by the digest of a section.
	KeySectionPrefix = "policy/section/"
)

const (
	// maxValueBytes is the largest value that the service holds.
	maxValueBytes = 1 << 20
	// readBurst is the most reads that a host which was idle makes at once.
	readBurst = 32
	// maxStartDelay spreads the first reads of hosts that start together.
	maxStartDelay = 250 * time.Millisecond
)

// sourceName is what the store calls policies from this package.
const sourceName = "platform"

// Config describes a Client.
type Config struct {
	Platform settings.Platform
	Store    *policystore.Store
	// MaxFetchDelay is the longest delay before a change is fetched. Hosts that learn
	// of it together draw different delays; most find that their peers have
	// passed the policy on by then, and read nothing. 0 fetches at once.
	MaxFetchDelay time.Duration
	// OnHosts receives each newer host list; it may be nil.
	OnHosts func(HostList)
	// Logger may be nil.
	Logger *eventlog.Logger
	// HTTP may be nil.
	HTTP *http.Client
}

// Client follows the configuration service. Its methods are safe for concurrent
// use.
type Client struct {
	config       Config
	limiter      *rate.Limiter
	lastContact  atomic.Int64
	reads        atomic.Int64
	hostsVersion int
}

// New returns a client that is not running.
func New(c Config) *Client {
	if c.Logger == nil {
		c.Logger = eventlog.Discard()
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	}
	return &Client{config: c, limiter: rate.NewLimiter(rate.Limit(c.Platform.ReadsPerSecond), readBurst)}
}

// Run follows the service until ctx ends. It returns at once if the settings name
// no service.
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

// LastContact returns when the service last answered a read or a watch; zero if
// it never did.
func (c *Client) LastContact() time.Time {
	ms := c.lastContact.Load()
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// Reads returns the number of calls made to the service.
func (c *Client) Reads() int { return int(c.reads.Load()) }

// acceptManifest fetches what a manifest needs and offers its policy. An error
// asks for another attempt; a policy that is refused for good is none.
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

// needsNoFetch reports whether the policy in force makes a manifest needless.
func (c *Client) needsNoFetch(m message.PolicyManifest) bool {
	inForce := c.config.Store.Manifest()
	if m.Generation < inForce.Generation {
		c.config.Logger.Warn("configuration service is stale", "generation", m.Generation, "in_force", inForce.Generation)
		return true
	}
	return m.Generation == inForce.Generation && m.Digest == inForce.Digest
}

// fetchSections gets the sections that the policy in force lacks.
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
