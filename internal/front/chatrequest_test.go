package front

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"mimosafront/internal/apierror"
	"mimosafront/internal/policy"
)

func mustParse(t testing.TB, body string) *chatRequest {
	t.Helper()
	c, err := parseChat([]byte(body))
	if err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return c
}

// chatWith returns a chat completion request whose only message has the given JSON
// content.
func chatWith(content string) string {
	return fmt.Sprintf(`{"model":"writer","messages":[{"role":"user","content":%s}]}`, content)
}

// TestContentHashDependsOnContentOnly checks that only the model and the messages
// change the hash, whatever their encoding.
func TestContentHashDependsOnContentOnly(t *testing.T) {
	base := contentHash(mustParse(t, chatWith(`"a brief"`)))
	same := []string{
		`{"stream":true,"messages":[{"content":"a brief","role":"user"}],"model":"writer","user":"u7"}`,
		`{"model":"writer","max_tokens":9,"messages":[{"role":"user","content":"a br\u0069ef"}]}`,
		chatWith(`[{"type":"text","text":"a brief"}]`),
	}
	for _, body := range same {
		if contentHash(mustParse(t, body)) != base {
			t.Errorf("%s has a different content hash", body)
		}
	}
	for _, body := range []string{chatWith(`"another brief"`), strings.Replace(same[0], "writer", "other", 1), chatWith(`[{"type":"text","text":"a brief"},{"type":"image_url"}]`)} {
		if contentHash(mustParse(t, body)) == base {
			t.Errorf("%s has the same content hash", body)
		}
	}
}

// TestPrefixHashesChain checks that two prompts share the hashes of their common prefix
// and no others.
func TestPrefixHashesChain(t *testing.T) {
	long := strings.Repeat("family history ", 1000)
	a := prefixHashes("writer", long)
	b := prefixHashes("writer", long[:3*prefixBlockBytes]+"another end"+long)
	if len(a) != len(long)/prefixBlockBytes || len(b) != maxPrefixBlocks {
		t.Fatalf("%d and %d hashes", len(a), len(b))
	}
	for i := range a {
		if (a[i] == b[i]) != (i < 3) {
			t.Errorf("block %d: the hashes are equal: %t", i, a[i] == b[i])
		}
	}
	if other := prefixHashes("other", long); other[0] == a[0] {
		t.Error("two models share a prefix hash")
	}
	if short := prefixHashes("writer", "short"); len(short) != 0 {
		t.Errorf("a short prompt has %d hashes", len(short))
	}
}

// TestWorkEstimate checks the estimated tokens and the refusal of requests that exceed
// the context of the model.
func TestWorkEstimate(t *testing.T) {
	model := policy.Model{Name: "writer", ContextTokens: 2000, OutputTokens: 16}
	cases := []struct {
		body           string
		prompt, output int
		code           apierror.Code
	}{
		{chatWith(`"` + strings.Repeat("x", 394) + `"`), 100, 16, ""},
		{strings.Replace(chatWith(`""`), `{`, `{"max_tokens":7,`, 1), 1, 7, ""},
		{strings.Replace(chatWith(`""`), `{`, `{"max_tokens":7,"n":3,`, 1), 1, 21, ""},
		{strings.Replace(chatWith(`""`), `{`, `{"tools":"`+strings.Repeat("x", 398)+`",`, 1), 101, 16, ""},
		{chatWith(`[{"type":"image_url"}]`), 1 + nonTextPartTokens, 16, ""},
		{strings.Replace(chatWith(`""`), `{`, `{"max_tokens":2000,`, 1), 1, 2000, apierror.CodeInfeasible},
		{chatWith(`"` + strings.Repeat("x", 9000) + `"`), 2251, 16, apierror.CodeInfeasible},
	}
	for _, c := range cases {
		w, err := mustParse(t, c.body).work(model)
		if w.promptTokens != c.prompt || w.outputTokens != c.output {
			t.Errorf("%.60s: %d prompt and %d output tokens, want %d and %d", c.body, w.promptTokens, w.outputTokens, c.prompt, c.output)
		}
		if (err == nil) != (c.code == "") || err != nil && err.Code != c.code {
			t.Errorf("%.60s: error %v, want code %q", c.body, err, c.code)
		}
	}
}

// TestFieldsOfOtherCaseAreRefused checks that a body with two spellings of the model
// field is refused; front and engine could read different models from it.
func TestFieldsOfOtherCaseAreRefused(t *testing.T) {
	body := strings.Replace(chatWith(`"x"`), `{`, `{"MODEL":"allowed",`, 1)
	if _, err := parseChat([]byte(body)); err == nil || err.Code != apierror.CodeMalformed {
		t.Errorf("error %v", err)
	}
}

// TestEngineBodyKeepsUnknownFields checks that fields which the front does not read are
// forwarded and that streaming is turned on.
func TestEngineBodyKeepsUnknownFields(t *testing.T) {
	c := mustParse(t, `{"model":"writer","stream":false,"top_p":0.5,"messages":[{"role":"user","content":"x","name":"n"}]}`)
	body, err := c.engineBody()
	if err != nil {
		t.Fatal(err)
	}
	want := `{"messages":[{"role":"user","content":"x","name":"n"}],"model":"writer","stream":true,"stream_options":{"include_usage":true},"top_p":0.5}`
	if string(body) != want {
		t.Errorf("got  %s\nwant %s", body, want)
	}
}

// TestAssembly checks that chunks with several choices and tool calls are assembled
// into one completion.
func TestAssembly(t *testing.T) {
	chunks := []string{
		`{"id":"r1","object":"chat.completion.chunk","model":"writer","choices":[{"index":0,"delta":{"role":"assistant","content":"An "},"finish_reason":null}]}`,
		`{"id":"r1","choices":[{"index":1,"delta":{"content":"Other"}},{"index":0,"delta":{"content":"oak"}}]}`,
		`{"id":"r1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"find","arguments":"{\"coin\""}}]}}]}`,
		`{"id":"r1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":7}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"r1","choices":[{"index":1,"delta":{},"finish_reason":"stop"}],"usage":{"completion_tokens":4}}`,
	}
	var a assembly
	for _, chunk := range chunks {
		if err := a.add(chunk); err != nil {
			t.Fatal(err)
		}
	}
	got, err := json.Marshal(a.completion())
	if err != nil {
		t.Fatal(err)
	}
	want := `{"choices":[{"finish_reason":"tool_calls","index":0,"message":{"content":"An oak","role":"assistant","tool_calls":[{"function":{"arguments":"{\"coin\":7}","name":"find"},"id":"c1","index":0,"type":"function"}]}},` +
		`{"finish_reason":"stop","index":1,"message":{"content":"Other","role":"assistant"}}],"id":"r1","model":"writer","object":"chat.completion","usage":{"completion_tokens":4}}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// FuzzParseChat checks that each accepted request can be encoded for the engine as JSON
// with the same content.
func FuzzParseChat(f *testing.F) {
	for _, body := range []string{
		chatWith(`"a brief"`), chatWith(`[{"type":"text","text":"a"},{"type":"image_url"}]`), chatWith(`null`), chatWith(`7`),
		`{"model":"writer","Stream":true,"messages":[]}`, `{"model":"writer","n":0,"messages":[{"role":"user"}]}`,
		`[]`, `{`, "\xff", `{"model":"writer","messages":[{"role":"user","content":"\ud800"}],"max_tokens":1e9}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, refusal := parseChat(body)
		if refusal != nil {
			if refusal.Code != apierror.CodeMalformed {
				t.Errorf("refused as %s", refusal.Code)
			}
			return
		}
		if _, refusal := c.work(policy.Model{Name: "writer", ContextTokens: 4096, OutputTokens: 32}); refusal != nil {
			return
		}
		sent, err := c.engineBody()
		if err != nil {
			t.Fatal(err)
		}
		again, refusal := parseChat(sent)
		if refusal != nil {
			t.Fatalf("the body for the engine is refused: %v", refusal)
		}
		if contentHash(again) != contentHash(c) {
			t.Error("the body for the engine has a different content hash")
		}
	})
}
