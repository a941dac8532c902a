// Package loopback gives the processes of tests and measurements addresses that
// stay free while a process is down.
//
// Connections to a loopback address come from 127.0.0.1. So its ports may be taken
// by connections of any program at any time, those of other loopback IP numbers
// only by listeners.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// numbersPerProcess is how many IP numbers a process has.
const numbersPerProcess = 250

// The IP numbers from here on are those of standins and proxies; hosts take lower
// ones.
const (
	StandinNumber = 240 + iota
	ProxyNumber
)

// IP returns one of the loopback IP numbers that other processes are unlikely to
// use. Numbers from 0 are distinct up to StandinNumber, then they repeat.
func IP(number int) string {
	pid := os.Getpid()
	if number >= numbersPerProcess {
		number %= StandinNumber
	}
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%254, pid%256, 1+number)
}

// FreeAddresses returns addresses of an IP number that nobody listens on, all
// different.
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
// returns. A process that is being started holds a copy of each open socket until
// shortly after it runs its program, and copies of a socket that is closed only would
// go on to accept connections for that time.
type Listener struct{ *net.TCPListener }

// Listen returns a Listener on an address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{listener.(*net.TCPListener)}, nil
}

// Close ends the socket itself, with all copies of it.
func (l *Listener) Close() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var ended error
	err = raw.Control(func(fd uintptr) { ended = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	return errors.Join(err, ended, l.TCPListener.Close())
}
