// Package loopback allocates loopback addresses for the processes of tests and
// measurements. An address stays available while its process is down.
//
// Connections to loopback addresses use 127.0.0.1 as their source, so any outgoing
// connection may occupy a port of 127.0.0.1. Ports of other loopback IP addresses are
// occupied only by listeners.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// numbersPerProcess is the number of IP addresses reserved for one process.
const numbersPerProcess = 250

// Numbers passed to IP for stand-ins and proxies. Entry hosts use lower numbers.
const (
	StandinNumber = 240 + iota
	ProxyNumber
)

// IP returns a loopback IP address derived from the process ID, which makes collisions
// with other processes unlikely. Numbers from 0 to 249 give distinct addresses;
// higher ones are taken modulo StandinNumber.
func IP(number int) string {
	pid := os.Getpid()
	if number >= numbersPerProcess {
		number %= StandinNumber
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, 1+number)
}

// FreeAddresses returns n distinct TCP addresses (ip:port) without a listener.
func FreeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Listener is a TCP listener whose address refuses connections as soon as Close
// returns. A child process that is being started holds a copy of each open socket
// until its exec, so a socket that is only closed would accept connections until then.
type Listener struct{ *net.TCPListener }

// Listen returns a Listener on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{listener.(*net.TCPListener)}, nil
}

// Close shuts the socket down, including its copies in child processes, and closes it.
func (l *Listener) Close() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var shutdownErr error
	err = raw.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	return errors.Join(err, shutdownErr, l.TCPListener.Close())
}
