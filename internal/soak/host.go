package soak

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mimosafront/internal/localproc"
)

// stopTimeout bounds a planned stop, in which a host drains requests in progress.
const stopTimeout = 40 * time.Second

// host is one entry host. Its methods are safe for concurrent use.
type host struct {
	name               string
	front, admin, peer string
	settings, log      string
	daemon             string

	mu      sync.Mutex
	process *localproc.Process
	// stopping is the process that received SIGTERM.
	stopping *localproc.Process
	// paused counts the pauses in effect.
	paused int
	// stops are the planned stops; kills and pauses hold the times of the others.
	stops  []plannedStop
	kills  []time.Time
	pauses []time.Time
}

// plannedStop is one planned stop.
type plannedStop struct {
	At, Ended time.Time
	// ExitCode is the exit code. It is negative if a kill ended the process.
	ExitCode int
	// TimedOut reports that the host exceeded stopTimeout and was killed.
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

// kill sends SIGKILL and reports whether the daemon was running.
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

// pause suspends the daemon with SIGSTOP until resume is called with the returned
// process. It returns nil if the daemon is not running.
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

// resume ends a pause. The daemon gets SIGCONT when no other pause is in effect.
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

// stop sends SIGTERM and waits for the daemon to exit. It reports whether it began the
// stop.
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

// signalStop sends SIGTERM to the running process and returns the process if that begins
// its stop. Stops may overlap: the signal is also sent to a process that is stopping.
func (h *host) signalStop() *localproc.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	if p == nil || p.Signal(syscall.SIGTERM) != nil || p == h.stopping {
		return nil
	}
	h.stopping = p
	return p
}

// killUnrecorded kills the daemon without adding to kills.
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
