// Package demo runs an entry host for each of the two associations in one
// process, with stand-in engines and services, and sends it a mix of requests.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"mimosafront/internal/eventlog"
)

const (
	// callers is the number of requests that are sent at once for each
	// association.
	callers = 8
	// requestTimeout bounds one request.
	requestTimeout = 15 * time.Second
	// stopTimeout bounds the graceful stop at the end.
	stopTimeout = 5 * time.Second
)

// Options say what the demo does.
type Options struct {
	// Serve keeps the hosts up after the requests until the context ends.
	Serve bool
	// Out receives the answers, the decisions and the table.
	Out io.Writer
}

// Run runs the demo.
func Run(ctx context.Context, o Options) error {
	out := &lockedWriter{writer: o.Out}
	logger := eventlog.NewDirect(out)
	var sites []*site
	defer func() { stopAll(sites) }()
	for _, p := range []plan{consortiumPlan, workshopPlan} {
		s, err := startSite(ctx, p, logger)
		if err != nil {
			return err
		}
		sites = append(sites, s)
		fmt.Fprintf(out, "%s: entry host on %s, metrics and status on %s\n", p.name, s.url, s.adminURL)
	}
	results := runPlans(ctx, sites, out)
	fmt.Fprintf(out, "\n")
	writeTable(out, results)
	if err := ctx.Err(); err != nil {
		return err
	}
	if o.Serve {
		writeCommands(out, sites)
		<-ctx.Done()
		return nil
	}
	return failures(results)
}

// runPlans sends the requests of all sites at once and returns the results in
// the order of the plans.
func runPlans(ctx context.Context, sites []*site, out io.Writer) []result {
	perSite := make([][]result, len(sites))
	var group conc.WaitGroup
	for i, s := range sites {
		group.Go(func() { perSite[i] = runPlan(ctx, s, out) })
	}
	group.Wait()
	var all []result
	for _, results := range perSite {
		all = append(all, results...)
	}
	return all
}

func runPlan(ctx context.Context, s *site, out io.Writer) []result {
	results := pool.NewWithResults[result]().WithMaxGoroutines(callers)
	for _, r := range s.plan.requests() {
		results.Go(func() result {
			answer := s.client.complete(ctx, r)
			printAnswer(out, answer)
			return answer
		})
	}
	all := results.Wait()
	for _, answer := range s.client.runOperation(ctx, s.plan) {
		printAnswer(out, answer)
		all = append(all, answer)
	}
	for i := range all {
		all[i].association = s.plan.name
		all[i].organisation = s.organisation(all[i].caller)
	}
	return all
}

// failures returns an error if a request ended otherwise than planned.
func failures(results []result) error {
	for _, r := range results {
		if r.status != r.want {
			return fmt.Errorf("%s of %s: status %d, want %d: %s", r.what, r.caller, r.status, r.want, r.text)
		}
	}
	return nil
}

func stopAll(sites []*site) {
	var group conc.WaitGroup
	for _, s := range sites {
		group.Go(s.stop)
	}
	group.Wait()
}

// writeCommands prints commands that a person can try.
func writeCommands(out io.Writer, sites []*site) {
	fmt.Fprintf(out, "\nServing until interrupted. Try:\n")
	for _, s := range sites {
		p := s.plan
		fmt.Fprintf(out, "\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer demo-%s' -H 'Mimosa-Tier: %s' \\\n"+
			"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}'\n",
			s.url, p.texts[0].caller, p.texts[0].tier, p.model, "Describe the coin found in the north basin.")
		fmt.Fprintf(out, "  curl -X POST %s/services/%s/tickets -H 'Authorization: Bearer demo-%s'\n", s.url, p.service, p.operator)
		fmt.Fprintf(out, "  curl %s/status\n", s.adminURL)
	}
}

// newHTTPClient returns the client of the demo's callers.
func newHTTPClient() *http.Client { return &http.Client{Timeout: requestTimeout} }
