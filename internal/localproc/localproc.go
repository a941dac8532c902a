// Package localproc starts and stops local processes for measurements and soak
// runs. It signals only processes that it started.
package localproc

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// stopTimeout bounds the graceful stop of a process.
const stopTimeout = 10 * time.Second

// Process is a started child process whose output is appended to a log file.
type Process struct {
	command   *exec.Cmd
	done      chan struct{}
	log       *os.File
	peakBytes int64
}

// Start runs a program and appends its output to the file at logPath.
func Start(logPath, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Process{command: command, done: make(chan struct{}), log: log}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal. It returns an error if the process has exited.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM, and kills the process if it has not exited after stopTimeout.
func (p *Process) Stop() {
	p.readPeakMemory()
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// ExitCode returns the exit code of a process that has ended, or -1 if a signal
// ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time.
	CPU time.Duration
	// PeakBytes is the peak resident set size.
	PeakBytes int64
}

// Usage returns the CPU time and the peak memory of a process after Stop has
// returned.
func (p *Process) Usage() Usage {
	state := p.command.ProcessState
	return Usage{CPU: state.UserTime() + state.SystemTime(), PeakBytes: p.peakBytes}
}

var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// readPeakMemory reads the largest resident memory of a running process.
func (p *Process) readPeakMemory() {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return
	}
	if match := peakMemoryPattern.FindSubmatch(text); match != nil {
		kilobytes, _ := strconv.ParseInt(string(match[1]), 10, 64)
		p.peakBytes = kilobytes * 1024
	}
}
