package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"mimosafront/internal/client"
	"mimosafront/internal/inifile"
	"mimosafront/internal/verdict"
)

// Call sends requests as a caller.
var Call = Command{Name: "call", Summary: "send a chat request, or a call of a service under a ticket", Run: runCall, Subcommands: callCommands}

var callCommands = []Command{
	{Name: "chat", Summary: "send a chat request and print the answer as it comes", Run: runCallChat},
	{Name: "service", Summary: "send a call that may not be repeated, under a ticket", Run: runCallService},
}

// keyVariable is the environment variable that holds the caller's key.
const keyVariable = "MIMOSA_KEY"

func runCall(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runNamed(ctx, "mimosactl call", callCommands, args, stdout, stderr)
}

// callFlags are the flags that all calls share.
type callFlags struct {
	addresses *string
	hosts     *string
	tier      *string
	deadline  *time.Duration
}

func addCallFlags(flags *flag.FlagSet) callFlags {
	return callFlags{
		addresses: flags.String("addresses", "http://127.0.0.1:8080", "base URLs of the balancer or of entry hosts, separated by commas"),
		hosts:     flags.String("hosts", "", "base URLs of entry hosts by name, such as e1=http://10.0.0.1:8080,e2=..."),
		tier:      flags.String("tier", "", "tier of the request"),
		deadline:  flags.Duration("deadline", 0, "time for the whole answer"),
	}
}

// client returns the client of the flags. The key comes from the environment,
// since command lines are seen by others.
func (f callFlags) client() (*client.Client, error) {
	addresses := inifile.SplitList(*f.addresses)
	if len(addresses) == 0 {
		return nil, fmt.Errorf("-addresses is empty")
	}
	hosts := map[string]string{}
	for _, pair := range inifile.SplitList(*f.hosts) {
		name, url, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("-hosts: %q is not NAME=URL", pair)
		}
		hosts[name] = url
	}
	return client.New(client.Config{
		Addresses: addresses, Hosts: hosts, Key: os.Getenv(keyVariable), Tier: *f.tier, Deadline: *f.deadline,
	}), nil
}

func runCallService(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("call service", "SERVICE PATH [BODY]", stderr)
	common := addCallFlags(flags)
	method := flags.String("method", http.MethodPost, "method of the call")
	contentType := flags.String("content-type", "application/json", "type of the body")
	if code, ok := parse(flags, args, 2, 3); !ok {
		return code
	}
	c, err := common.client()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	answer, callErr := c.Do(ctx, client.Call{
		Service: flags.Arg(0), Path: flags.Arg(1), Method: *method, Body: []byte(flags.Arg(2)), ContentType: *contentType,
	})
	if callErr != nil {
		return fail(stderr, callErr)
	}
	fmt.Fprintf(stderr, "%s: status %d after %d attempts\n", verdict.Ran, answer.Status, answer.Attempts)
	_, _ = stdout.Write(answer.Body)
	if answer.Status >= http.StatusBadRequest {
		return ExitFailed
	}
	return ExitOK
}

func runCallChat(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("call chat", "MODEL PROMPT", stderr)
	common := addCallFlags(flags)
	tokens := flags.Int("max-tokens", 0, "most tokens of the answer; 0 leaves it to the policy")
	if code, ok := parse(flags, args, 2, 2); !ok {
		return code
	}
	c, err := common.client()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	chatErr := c.Chat(ctx, client.Chat{Model: flags.Arg(0), Prompt: flags.Arg(1), MaxTokens: *tokens}, stdout)
	fmt.Fprintln(stdout)
	if chatErr != nil {
		return fail(stderr, chatErr)
	}
	return ExitOK
}
