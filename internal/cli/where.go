package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/status"
)

// explainWhere is the subcommand that explains the placement of a request.
var explainWhere = Command{Name: "where", Summary: "tell where a request would go now, without sending it", Run: runWhere}

const (
	outputText = "text"
	outputJSON = "json"
)

// whereFlags are the flags of explain where, which fill a query.
func whereFlags(stderr io.Writer, query *status.Query) (flags *flag.FlagSet, file, output *string, timeout *time.Duration) {
	flags = newFlags("explain where", "[flags] ADMIN-ADDRESS", stderr)
	file = flags.String("request", "", "JSON `file` with the fields of the request; flags replace them")
	output = flags.String("output", outputText, "text or json")
	timeout = flags.Duration("timeout", defaultStatusTimeout, "time to wait for the host")
	flags.StringVar(&query.Key, "key", "", "the caller's key")
	flags.StringVar(&query.Organisation, "organisation", "", "the organisation, instead of a key")
	flags.StringVar(&query.Caller, "caller", "", "the caller's name, with -organisation")
	flags.StringVar(&query.Host, "host", "", "host name of the route")
	flags.StringVar(&query.Path, "path", "", "path of the route")
	flags.StringVar(&query.Target, "target", "", "model or service, without a route or as one of its targets")
	flags.StringVar(&query.Zone, "zone", "", "availability zone of the pool; by default that of the host")
	flags.StringVar(&query.Tier, "tier", "", "tier of a request without a route")
	flags.IntVar(&query.PromptTokens, "prompt-tokens", 0, "length of the prompt")
	flags.IntVar(&query.OutputTokens, "output-tokens", 0, "length of the answer")
	flags.StringVar(&query.Parts, "parts", "", "parts of the prompt, `ID:TOKENS,...`")
	flags.IntVar(&query.DeadlineMs, "deadline-ms", 0, "time until the whole answer is due")
	return flags, file, output, timeout
}

func runWhere(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var query status.Query
	flags, file, output, timeout := whereFlags(stderr, &query)
	if code, ok := parse(flags, args, 1, 1); !ok {
		return code
	}
	if *output != outputText && *output != outputJSON {
		fmt.Fprintf(stderr, "-output %s is neither %s nor %s\n", *output, outputText, outputJSON)
		return ExitUsage
	}
	address := flags.Arg(0)
	if *file != "" {
		text, err := os.ReadFile(*file)
		if err != nil {
			return fail(stderr, err)
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		query = status.Query{}
		if err := decoder.Decode(&query); err != nil {
			return fail(stderr, fmt.Errorf("%s: %w", *file, err))
		}
		_ = flags.Parse(args) // flags replace the fields of the file
	}
	if query.Host == "" && query.Target == "" {
		fmt.Fprintln(stderr, "a route (-host and -path) or a -target is needed")
		return ExitUsage
	}
	e, err := fetchExplanation(ctx, address, &query, *timeout)
	if err != nil {
		return fail(stderr, fmt.Errorf("%s: %w", address, err))
	}
	if *output == outputJSON {
		_ = json.NewEncoder(stdout).Encode(e)
	} else {
		printExplanation(stdout, e)
	}
	if e.Coordinator != e.Host {
		return fail(stderr, fmt.Errorf("%s does not coordinate the pool of %s in %s; ask the admin address of %s", e.Host, e.Target, e.Zone, e.Coordinator))
	}
	return ExitOK
}

func fetchExplanation(ctx context.Context, address string, query *status.Query, timeout time.Duration) (*status.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(query)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/explain", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes))
	if response.StatusCode != http.StatusOK {
		var refused apierror.Body
		if decoder.Decode(&refused) != nil || refused.Error.Message == "" {
			return nil, fmt.Errorf("status %s; is the host of an older version?", response.Status)
		}
		return nil, errors.New(refused.Error.Message)
	}
	var e status.Explanation
	if err := decoder.Decode(&e); err != nil {
		return nil, fmt.Errorf("explanation: %w", err)
	}
	return &e, nil
}

func printExplanation(w io.Writer, e *status.Explanation) {
	if e.Route != "" {
		fmt.Fprintf(w, "route         %s (%s)\n", printable(e.Route), e.Kind)
	}
	fmt.Fprintf(w, "pool          %s in %s, coordinated by %s\n", printable(e.Target), e.Zone, e.Coordinator)
	if e.Coordinator != e.Host {
		return
	}
	fmt.Fprintf(w, "organisation  %s\ntier          %s\npolicy        %d\n", printable(e.Organisation), e.Tier, e.Policy)
	if e.Rebuilding {
		fmt.Fprintln(w, "rebuilding    the pool was just taken over and may not know all that runs")
	}
	fmt.Fprintf(w, "ahead         %d of %d waiting requests, %d tokens, about %d ms\n", e.Ahead, e.Waiting, e.AheadTokens, e.ExpectedWaitMs)
	fmt.Fprintf(w, "now           %s\n", outcomeOf(e))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(e.Servers) > 0 {
		fmt.Fprintln(table, "\nSERVER\tFIRST\tTOTAL\tHOLDS UP\tSCORE\tHELD\tKNOWN FOR\tREQUESTS\tTOKENS\tREPORT\tLEFT OUT")
	}
	for _, s := range e.Servers {
		report := "none"
		if s.ReportAgeMs >= 0 {
			report = fmt.Sprintf("%d ms", s.ReportAgeMs)
		}
		fmt.Fprintf(table, "%s\t%d ms\t%d ms\t%d ms\t%d ms\t%d\t%d ms\t%d\t%d/%d\t%s\t%s\n", s.Server, s.FirstTokenMs, s.TotalMs,
			s.InterferenceMs, s.ScoreMs, s.HeldTokens, s.HeldAgeMs, s.Requests, s.Tokens, s.TokenLimit, report, s.LeftOut)
	}
	if len(e.Zones) > 0 {
		fmt.Fprintln(table, "\nZONE\tWAIT\tCOST\tDIGEST")
	}
	for _, z := range e.Zones {
		fmt.Fprintf(table, "%s\t%d ms\t%d ms\t%d ms\n", z.Zone, z.WaitMs, z.CostMs, z.DigestAgeMs)
	}
	table.Flush()
}

// outcomeOf says in words what would happen.
func outcomeOf(e *status.Explanation) string {
	switch {
	case e.Refusal != nil:
		return fmt.Sprintf("refused (%s, %s): %s; retry after about %d ms", e.Refusal.Reason, e.Refusal.Verdict, e.Refusal.Text, e.Refusal.RetryAfterMs)
	case len(e.Servers) > 0 && e.Servers[0].LeftOut == "" && e.Ahead == 0:
		return "starts on " + e.Servers[0].Server
	case len(e.Servers) > 0 && e.Servers[0].LeftOut == "":
		return "may start on " + e.Servers[0].Server + ", if those ahead fit nowhere"
	}
	return "waits: no server can start it"
}
