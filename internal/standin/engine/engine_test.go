package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, c Config) *Engine {
	t.Helper()
	e := New(c)
	if err := e.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, ctx context.Context, e *Engine, id, prompt string, stream bool, limit int) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, limit, prompt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", id)
	return http.DefaultClient.Do(request)
}

// readStream returns the text of a stream and whether it had its end marker.
func readStream(r io.Reader) (text string, whole bool) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk completion
		if json.Unmarshal([]byte(data), &chunk) == nil && chunk.Choices[0].Delta != nil {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

func TestStreamAndWholeAnswer(t *testing.T) {
	e := start(t, Config{Models: []string{"m"}})
	response, err := post(t, t.Context(), e, "r1", "a coin", true, 5)
	if err != nil {
		t.Fatal(err)
	}
	text, whole := readStream(response.Body)
	run := e.Runs()["r1"][0]
	if !whole || text != Answer(run.Seed, 5) {
		t.Errorf("stream = %q, whole %t", text, whole)
	}
	if run.Outcome != OutcomeFinished || run.OutputTokens != 5 || run.DeliveredTokens != 5 {
		t.Errorf("journal = %+v", run)
	}
	response, err = post(t, t.Context(), e, "r2", "a coin #output=3", false, 5)
	if err != nil {
		t.Fatal(err)
	}
	var body completion
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if body.Usage.CompletionTokens != 3 || body.Choices[0].Message.Content != Answer(e.Runs()["r2"][0].Seed, 3) {
		t.Errorf("whole answer = %+v", body)
	}
}

func TestResumeAndCancel(t *testing.T) {
	e := start(t, Config{Models: []string{"m"}})
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := post(t, ctx, e, "r1", "a coin", true, 20); err != nil {
		t.Fatal(err)
	}
	cancel()
	response, err := http.Get("http://" + e.Address() + "/v1/requests/r1/stream?after=2")
	if err != nil {
		t.Fatal(err)
	}
	text, whole := readStream(response.Body)
	answer := Answer(e.Runs()["r1"][0].Seed, 20)
	if !whole || !strings.HasSuffix(answer, text) || strings.Count(text, " ") != 18 {
		t.Errorf("resumed = %q, whole %t", text, whole)
	}
	response, err = post(t, t.Context(), e, "r2", "a coin", true, 100000)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := http.Post("http://"+e.Address()+"/v1/requests/r2/cancel", "", nil); err != nil {
		t.Fatal(err)
	}
	if _, whole := readStream(response.Body); whole {
		t.Error("a cancelled stream has its end marker")
	}
	if outcome := e.Runs()["r2"][0].Outcome; outcome != OutcomeCancelled {
		t.Errorf("outcome = %s", outcome)
	}
}

// holdAfter sends a request, reads some chunks and holds it. It returns the
// outcome.
func holdAfter(t *testing.T, e *Engine, id string, tokens int) Outcome {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	response, err := post(t, ctx, e, id, "a coin", true, 200)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(response.Body)
	for n := 0; n < tokens && lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n++
		}
	}
	// The stream ends after the hold, so that no resume window begins before it.
	defer cancel()
	response, err = http.Post("http://"+e.Address()+"/v1/requests/"+id+"/cancel?hold=true", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	var reply cancelReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		t.Fatal(err)
	}
	return reply.Outcome
}

func TestHeldRequestGoesOnAsTheSameRun(t *testing.T) {
	e := start(t, Config{Models: []string{"m"}, MinStep: time.Millisecond, ResumeWindow: time.Millisecond})
	if outcome := holdAfter(t, e, "r1", 5); outcome != OutcomeHeld {
		t.Fatalf("outcome = %s", outcome)
	}
	held := e.Runs()["r1"][0]
	time.Sleep(50 * time.Millisecond)
	if now := e.Runs()["r1"][0]; now.OutputTokens != held.OutputTokens || now.Outcome != OutcomeHeld {
		t.Errorf("a held request went from %d tokens to %d, %s", held.OutputTokens, now.OutputTokens, now.Outcome)
	}
	response, err := http.Get("http://" + e.Address() + "/v1/requests/r1/stream?after=5")
	if err != nil {
		t.Fatal(err)
	}
	text, whole := readStream(response.Body)
	runs := e.Runs()["r1"]
	if !whole || text != strings.TrimPrefix(Answer(runs[0].Seed, 200), Answer(runs[0].Seed, 5)) {
		t.Errorf("the resumed stream is not the rest of the answer, whole %t", whole)
	}
	if len(runs) != 1 || runs[0].Outcome != OutcomeFinished || len(runs[0].Holds) != 1 || runs[0].Holds[0].End.IsZero() {
		t.Errorf("journal = %+v", runs)
	}
	if runs[0].PrefillTokens+runs[0].CachedTokens != runs[0].PromptTokens || e.heldTokens != 0 {
		t.Errorf("%d tokens of prefill, %d tokens held", runs[0].PrefillTokens, e.heldTokens)
	}
}

func TestHeldRequestIsDropped(t *testing.T) {
	for name, c := range map[string]Config{
		"in time":   {HoldTime: 10 * time.Millisecond},
		"no memory": {HoldTokens: 1},
	} {
		c.Models = []string{"m"}
		e := start(t, c)
		holdAfter(t, e, "r1", 2)
		for range 200 {
			if e.Runs()["r1"][0].Outcome == OutcomeCancelled {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if entry := e.Runs()["r1"][0]; entry.Outcome != OutcomeCancelled || e.heldTokens != 0 {
			t.Errorf("%s: journal = %+v, %d tokens held", name, entry, e.heldTokens)
		}
	}
}

func TestPoisonCrashesAndRestarts(t *testing.T) {
	e := start(t, Config{Models: []string{"m"}, DownTime: 50 * time.Millisecond})
	other, err := post(t, t.Context(), e, "bystander", "a coin", true, 1000)
	if err != nil {
		t.Fatal(err)
	}
	response, err := post(t, t.Context(), e, "poison", "a coin "+PoisonMarker, true, 5)
	if err == nil {
		if _, whole := readStream(response.Body); whole {
			t.Error("the poison request was answered")
		}
	}
	if _, whole := readStream(other.Body); whole {
		t.Error("the bystander was answered")
	}
	for range 100 {
		if response, err = post(t, t.Context(), e, "later", "a coin", true, 5); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatalf("the engine did not come back: %v", err)
	}
	if _, whole := readStream(response.Body); !whole {
		t.Error("the engine does not answer after its restart")
	}
}

func TestOrdersWithOldFencingNumber(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := New(Config{ChecksFencing: checks})
		e.obey(orderRequest{Fencing: 7, Action: "load", Model: "new"})
		accepted := e.obey(orderRequest{Fencing: 6, Action: "unload", Model: "new"}) == http.StatusOK
		if accepted == checks {
			t.Errorf("checks %t: old order accepted %t", checks, accepted)
		}
	}
}

func TestBatchSharesBudget(t *testing.T) {
	events := map[string]int{}
	b := newBatch(Config{
		PrefillTokensPerS: 1000, DecodeTokensPerS: 100, StepTokens: 64, KVTokens: 300,
		MinStep: time.Millisecond, CacheBlocks: 100,
	}, func(kind string, _ uint64) { events[kind]++ })
	prompt := strings.Repeat("x", 4*96)
	sequences := make([]*sequence, 3)
	for i := range sequences {
		sequences[i] = &sequence{blocks: blockHashes("m", prompt), prompt: 96, output: 10, outcome: OutcomeRunning, updated: make(chan struct{}, 1)}
		b.add(sequences[i])
	}
	// Two fit into 300 tokens of memory; the first step prefills 64 tokens.
	duration, changed := b.step()
	if len(b.running) != 2 || len(changed) != 0 || duration != 65*time.Millisecond {
		t.Fatalf("first step: %d running, %d changed, %v", len(b.running), len(changed), duration)
	}
	// The second step finishes the first prompt (32) and prefills 32 of the next.
	duration, changed = b.step()
	if len(changed) != 1 || sequences[1].prefilled != 32 || duration != 65*time.Millisecond {
		t.Fatalf("second step: %d changed, prefilled %d, %v", len(changed), sequences[1].prefilled, duration)
	}
	// One decodes (10 ms at 100 tokens/s), 63 tokens of budget are left.
	duration, _ = b.step()
	if sequences[1].prefilled != 95 || duration != 73*time.Millisecond {
		t.Fatalf("third step: prefilled %d, %v", sequences[1].prefilled, duration)
	}
	b.remove(sequences[0])
	b.admit()
	if sequences[2].cached != 95 || events[eventStored] != 6 {
		t.Errorf("third prompt: %d cached, %d blocks stored", sequences[2].cached, events[eventStored])
	}
}

func TestLoadReportsLag(t *testing.T) {
	r := newReports(Config{LoadInterval: 100 * time.Millisecond, LoadLag: 2 * time.Second})
	begin := time.Unix(1000, 0)
	for i := range 40 {
		r.add(begin.Add(time.Duration(i)*100*time.Millisecond), Load{Running: i})
	}
	load := r.read(begin.Add(3900 * time.Millisecond))
	if load.Running != 19 || load.AgeMs != 2000 {
		t.Errorf("report = %+v, want 19 running, 2000 ms old", load)
	}
}
