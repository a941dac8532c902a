package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// host is one daemon process.
type host struct {
	name               string
	front, admin, peer string
	settings, policy   string

	// mu guards the running process.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (h *host) process() (*exec.Cmd, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.command, h.exited
}

// hostNumber counts the hosts of this test process. Each has a loopback IP number of
// its own, so that its ports stay free while it is down.
var hostNumber atomic.Int32

// start runs the daemon of a host.
func (f *fleet) start(name string) {
	f.t.Helper()
	h := f.hosts[name]
	log, err := os.OpenFile(f.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	command, exited := exec.Command(os.Args[0]), make(chan struct{})
	command.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command, h.exited = command, exited
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	command, _ := f.hosts[name].process()
	if err := command.Process.Signal(s); err != nil {
		f.t.Fatalf("signal %s: %v", name, err)
	}
}

// kill ends a daemon at once and waits for its end.
func (f *fleet) kill(name string) {
	f.t.Helper()
	_, exited := f.hosts[name].process()
	f.signal(name, syscall.SIGKILL)
	<-exited
}

// stop asks a daemon to stop and waits until it has, with its exit code.
func (f *fleet) stop(name string) int {
	f.t.Helper()
	command, exited := f.hosts[name].process()
	f.signal(name, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(patience):
		f.t.Fatalf("%s did not stop", name)
	}
	return command.ProcessState.ExitCode()
}

func (f *fleet) running(name string) bool {
	_, exited := f.hosts[name].process()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

func (f *fleet) logPath(name string) string { return filepath.Join(f.dir, name+".log") }

// log returns what a daemon logged.
func (f *fleet) log(name string) string {
	text, _ := os.ReadFile(f.logPath(name))
	return string(text)
}

// showLines prints the lines of a daemon's log that contain one of some texts,
// without those of requests and operations.
func (f *fleet) showLines(name string, texts ...string) {
	for line := range strings.Lines(f.log(name)) {
		if strings.Contains(line, "request=") || strings.Contains(line, "operation=") {
			continue
		}
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			f.t.Logf("%s: %s", name, strings.TrimSpace(line))
		}
	}
}

// showLog prints the end of a daemon's log.
func (f *fleet) showLog(name string) {
	lines := strings.Split(f.log(name), "\n")
	if extra := len(lines) - 8; extra > 0 {
		lines = lines[extra:]
	}
	f.t.Logf("log of %s:\n%s", name, strings.Join(lines, "\n"))
}
