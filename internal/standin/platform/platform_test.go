package platform

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

func read(t *testing.T, p *Platform, path string) string {
	t.Helper()
	response, err := http.Get("http://" + p.Address() + path)
	if err != nil {
		return "broken"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken"
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Sprint(response.StatusCode)
	}
	return response.Header.Get("X-Version") + " " + string(body)
}

func publish(t *testing.T, p *Platform, body string) {
	t.Helper()
	if _, err := p.Publish("policy/manifest", []byte(body)); err != nil {
		t.Fatal(err)
	}
}

func start(t *testing.T, c Config) *Platform {
	t.Helper()
	p := New(c)
	if err := p.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func TestReadsAndFaults(t *testing.T) {
	p := start(t, Config{})
	const get = "/v1/values/policy/manifest"
	const watch = "/v1/watch/policy/manifest?wait_ms=20&after="
	expect := func(path, want string) {
		t.Helper()
		if got := read(t, p, path); got != want {
			t.Errorf("%s = %q, want %q", path, got, want)
		}
	}
	expect(get, "404")
	publish(t, p, "one")
	publish(t, p, "two")
	expect(get, "2 two")
	expect(watch+"1", "2 two")
	expect(watch+"2", "204")
	p.Revert("policy/manifest", 1)
	expect(watch+"2", "1 one")
	p.SetStale(true)
	publish(t, p, "three")
	expect(get, "1 one")
	p.SetStale(false)
	expect(get, "3 three")
	p.SetDown(true)
	expect(get, "broken")
	p.SetDown(false)
	expect(get, "3 three")
	if _, err := p.Publish("hosts", make([]byte, MaxValueBytes+1)); err == nil {
		t.Error("a value over the limit was published")
	}
}

func TestWatchWakesAtPublish(t *testing.T) {
	p := start(t, Config{})
	got := make(chan string)
	go func() { got <- read(t, p, "/v1/watch/policy/manifest?after=0&wait_ms=10000") }()
	time.Sleep(20 * time.Millisecond)
	publish(t, p, "one")
	if body := <-got; body != "1 one" {
		t.Errorf("watch = %q", body)
	}
}

func TestRateLimit(t *testing.T) {
	p := start(t, Config{CallsPerSecond: 1})
	publish(t, p, "one")
	read(t, p, "/v1/values/policy/manifest")
	if got := read(t, p, "/v1/values/policy/manifest"); got != "429" {
		t.Errorf("second call = %q, want 429", got)
	}
}
