// Package front tests what callers of one entry host see under faults. The
// entry host is a real process; a fault-injecting proxy stands between it and
// the stand-in engine, whose journal says what ran.
package front

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosafront/internal/daemon"
)

// settingsVariable names the settings file of a test binary that runs as the
// daemon.
const settingsVariable = "MIMOSAFRONT_TEST_SETTINGS"

// patience bounds each wait for another process.
const patience = 20 * time.Second

// TestMain runs the daemon in place of the tests if the environment asks for it.
func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(daemon.Main([]string{"-settings", path}, os.Stdout, os.Stderr, nil))
	}
	os.Exit(m.Run())
}

const settingsText = `
[node]
name = e1
zone = a
policy_file = %s
[front]
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
stream_idle_timeout_ms = %d
connect_timeout_ms = %d
[peer]
listen = 127.0.0.1:0
insecure = true
[log]
max_bytes_per_second = %d
`

const policyText = `
[policy]
generation = 1
[zone a]
[tier brief]
rank = 0
deadline_ms = 60000
max_deadline_ms = 60000
[tier caption]
rank = 1
deadline_ms = 60000
max_deadline_ms = 60000
[organisation engravers]
[caller head-engraver]
organisation = engravers
tier = brief
key_sha256 = 19551d6cc32c653eecb67ce2a39d7b3f442dad14f60165fc8efb69977f7964c8
[hardware g1]
prefill_tokens_per_s = 4000
decode_tokens_per_s = 20000
tokens_in_flight = 16000
[model writer]
[service orders]
repeatable = GET
operations = ticket
[server orders-1]
zone = a
kind = service
services = orders
address = %s
`

const engineText = `
[server engine-%d]
zone = a
kind = engine
hardware = g1
models = writer
address = %s
`

// process is an entry host in a process of its own.
type process struct {
	command *exec.Cmd
	address string
	admin   string
	exited  chan error
	// reading is held while the log is not read.
	reading sync.Mutex

	mu  sync.Mutex
	log strings.Builder
}

// hostConfig describes an entry host under test.
type hostConfig struct {
	// service and engines are the addresses of the backend servers.
	service string
	engines []string
	// silence of a backend server after which the host gives up on it, and connect the
	// longest time to open a connection to one; zero means connectTimeout.
	silence time.Duration
	connect time.Duration
	// logBytes bounds the log, in bytes a second.
	logBytes int
}

// connectTimeout is how long a host under test tries to connect to a backend server
// whose faults the test plays.
const connectTimeout = 400 * time.Millisecond

// defaultLogBytes is the default of the settings.
const defaultLogBytes = 262144

// startProcess starts an entry host with a service and engines at the given
// addresses. Neither silence nor a slow connect of a backend server ends a request
// before the test does.
func startProcess(t *testing.T, service string, engines ...string) *process {
	t.Helper()
	return startHost(t, hostConfig{service: service, engines: engines, silence: patience, connect: patience, logBytes: defaultLogBytes})
}

func startHost(t *testing.T, c hostConfig) *process {
	t.Helper()
	dir := t.TempDir()
	policy := fmt.Sprintf(policyText, c.service)
	for i, address := range c.engines {
		policy += fmt.Sprintf(engineText, i+1, address)
	}
	policyPath, settingsPath := filepath.Join(dir, "policy.ini"), filepath.Join(dir, "settings.ini")
	writeFile(t, policyPath, policy)
	writeFile(t, settingsPath, fmt.Sprintf(settingsText, policyPath, c.silence.Milliseconds(),
		cmp.Or(c.connect, connectTimeout).Milliseconds(), c.logBytes))
	p := &process{command: exec.Command(os.Args[0]), exited: make(chan error, 1)}
	p.command.Env = append(os.Environ(), settingsVariable+"="+settingsPath)
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{})
	go p.readLog(stdout, started)
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("log of the entry host:\n%s", p.logText())
		}
	})
	select {
	case <-started:
	case <-time.After(patience):
		t.Fatalf("the entry host does not start:\n%s", p.logText())
	}
	return p
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

var startedPattern = regexp.MustCompile(`msg=started .*listen=(\S+) admin=(\S+)`)

// readLog keeps the log and closes started once the addresses are known.
func (p *process) readLog(r io.Reader, started chan<- struct{}) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.keep(scanner.Text())
		if match := startedPattern.FindStringSubmatch(scanner.Text()); match != nil && p.address == "" {
			p.address, p.admin = match[1], match[2]
			close(started)
		}
	}
	p.exited <- p.command.Wait()
}

// keep adds a line to the log that was read.
func (p *process) keep(line string) {
	p.reading.Lock()
	defer p.reading.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.WriteString(line + "\n")
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("the entry host does not end:\n%s", p.logText())
		return -1
	}
}
