package soak

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mimosafront/internal/localproc"
)

// stopTimeout bounds a planned stop, which waits for requests in progress.
const stopTimeout = 40 * time.Second

// host is one entry host. Its methods are safe for concurrent use.
type host struct {
	name               string
	front, admin, peer string
	settings, log      string
	daemon             string

	mu      sync.Mutex
	process *localproc.Process
	// stopping is the process that was asked to stop.
	stopping *localproc.Process
	// paused counts the pauses in effect.
	paused int
	// stops are the planned stops and kills the times of the others.
	stops  []plannedStop
	kills  []time.Time
	pauses []time.Time
}

// plannedStop is one planned stop.
type plannedStop struct {
	At, Ended time.Time
	// ExitCode is the exit code. It is negative if a kill came in between.
	ExitCode int
	// TimedOut says that the host did not end in time and was killed.
	TimedOut bool
}

func (h *host) zone() string { return h.name[:1] }

// start runs the daemon unless it runs already.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.process.Running() {
		return nil
	}
	p, err := localproc.Start(h.log, h.daemon, "-settings", h.settings)
	h.process, h.paused = p, 0
	return err
}

func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.Running()
}

// current returns the running process, or nil.
func (h *host) current() *localproc.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.process.Running() {
		return nil
	}
	return h.process
}

// kill ends the daemon at once. It reports whether one ran.
func (h *host) kill() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.process.Running() {
		return false
	}
	h.kills = append(h.kills, time.Now())
	h.process.Kill()
	return true
}

// pause stops the daemon from running until resume is called with the result.
func (h *host) pause() *localproc.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || h.process.Signal(syscall.SIGSTOP) != nil {
		return nil
	}
	h.paused++
	h.pauses = append(h.pauses, time.Now())
	return h.process
}

// resume ends a pause; the last one wakes the daemon.
func (h *host) resume(p *localproc.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p == nil || p != h.process {
		return
	}
	if h.paused--; h.paused == 0 {
		_ = p.Signal(syscall.SIGCONT)
	}
}

// stop asks the daemon to stop and waits until it has. It reports whether one
// ran that had not been asked yet: a second signal would cut its requests.
func (h *host) stop(ctx context.Context) bool {
	p := h.signalStop()
	if p == nil {
		return false
	}
	s := plannedStop{At: time.Now()}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.Done():
	case <-ctx.Done():
		return true
	case <-timer.C:
		s.TimedOut = true
		p.Kill()
	}
	s.Ended, s.ExitCode = time.Now(), p.ExitCode()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, s)
	return true
}

// signalStop signals the running process, unless it was asked before, and returns
// it.
func (h *host) signalStop() *localproc.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	if p == nil || p == h.stopping || p.Signal(syscall.SIGTERM) != nil {
		return nil
	}
	h.stopping = p
	return p
}

// recordAnswer kills the daemon without a record.
func (h *host) killUnrecorded() {
	if p := h.current(); p != nil {
		p.Kill()
	}
}

func newHost(name, daemon, directory string, addresses []string) *host {
	return &host{
		name: name, daemon: daemon, front: addresses[0], admin: addresses[1], peer: addresses[2],
		settings: filepath.Join(directory, name+".ini"), log: filepath.Join(directory, name+".log"),
	}
}
