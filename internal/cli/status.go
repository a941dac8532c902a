package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"mimosafront/internal/status"
)

// Status shows the state of entry hosts.
var Status = Command{Name: "status", Summary: "show pools, servers, queues and members of entry hosts", Run: runStatus}

const (
	// maxStatusBytes bounds a status report.
	maxStatusBytes = 64 << 20
	// defaultStatusTimeout bounds the wait for one host.
	defaultStatusTimeout = 3 * time.Second
)

func runStatus(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("status", "ADMIN-ADDRESS...", stderr)
	asJSON := flags.Bool("json", false, "print one JSON report a line")
	timeout := flags.Duration("timeout", defaultStatusTimeout, "time to wait for one host")
	if code, ok := parse(flags, args, 1, -1); !ok {
		return code
	}
	code := ExitOK
	for _, address := range flags.Args() {
		report, err := fetchStatus(ctx, address, *timeout)
		switch {
		case err != nil:
			code = fail(stderr, fmt.Errorf("%s: %w", address, err))
		case *asJSON:
			_ = json.NewEncoder(stdout).Encode(report)
		default:
			printStatus(stdout, report)
		}
	}
	return code
}

func fetchStatus(ctx context.Context, address string, timeout time.Duration) (*status.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	var report status.Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&report); err != nil {
		return nil, fmt.Errorf("status report: %w", err)
	}
	return &report, nil
}

func printStatus(w io.Writer, r *status.Report) {
	started := time.UnixMilli(int64(r.Incarnation)).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "%s  zone %s  %s  since %s  policy %d %.12s from %s  requests %d\n",
		r.Host, r.Zone, r.State, started, r.PolicyGeneration, r.PolicyDigest, r.PolicySource, r.Requests)
	if r.StoreEpoch > 0 {
		fmt.Fprintf(w, "store epoch %d  revision %d  policy of epoch %s\n", r.StoreEpoch, r.StoreRevision, r.PolicyEpochs)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Members) > 0 {
		fmt.Fprintln(table, "\nMEMBER\tZONE\tSTATE\tSILENT\tADDRESS")
	}
	for _, m := range r.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d ms\t%s\n", m.Host, m.Zone, m.State, m.SilenceMs, m.Address)
	}
	if len(r.Rollouts) > 0 {
		fmt.Fprintln(table, "\nROLLOUT\tVERSION\tSTATE\tREPLICAS\tCURRENT\tSERVING\tCHANGING\tFAILURES")
	}
	for _, o := range r.Rollouts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n",
			o.Model, o.Version, o.State, o.Replicas, o.Current, o.Serving, o.Changing, o.Failures)
	}
	for _, pool := range r.Pools {
		printPool(table, pool)
	}
	table.Flush()
	for _, zone := range r.EvacuatedZones {
		fmt.Fprintf(w, "evacuated zone %s\n", zone)
	}
	for _, fingerprint := range r.Quarantined {
		fmt.Fprintf(w, "quarantined %s\n", fingerprint)
	}
	fmt.Fprintln(w)
}

func printPool(w io.Writer, pool status.Pool) {
	fmt.Fprintf(w, "\nPOOL %s\tin %s", printable(pool.Target), pool.Zone)
	if pool.Moved > 0 {
		fmt.Fprintf(w, "\t%d moved to other zones", pool.Moved)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "SERVER\tSTATE\tREQUESTS\tLIMIT\tTOKENS\tLIMIT\tPREFILL\tGAP\tPACE\tCOLD")
	for _, s := range pool.Servers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.0f/s\t%.1f ms\t%.1f/s\t%d ms\n",
			s.Name, s.State, s.Requests, s.RequestLimit, s.Tokens, s.TokenLimit, s.PrefillTokensPerS, s.GapMs, s.RequestsPerS, s.ColdMs)
	}
	if len(pool.Queues) > 0 {
		fmt.Fprintln(w, "TIER\tORGANISATION\tWAITING\tTOKENS\tRUNNING\tSERVED")
	}
	for _, q := range pool.Queues {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", q.Tier, printable(q.Organisation), q.Waiting, q.WaitingTokens, q.Running, q.ServedTokens)
	}
}

// printable returns a name as it is, or quoted if it has characters that would break a table
// or act on the terminal.
func printable(name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(name)
	}
	return name
}
