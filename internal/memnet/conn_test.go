package memnet

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Guards against ends of the process by the race detector: deadlines that have passed
// were timers, which the runtime ran on several goroutines of the bubble at once.
func TestPassedDeadlinesAreSetAtOnce(t *testing.T) {
	const (
		connections = 16
		rounds      = 20_000
	)
	Test(t, func(*testing.T, *Network) {
		var setters sync.WaitGroup
		for range connections {
			client, _ := newPipe(&net.TCPAddr{}, &net.TCPAddr{})
			setters.Go(func() {
				for range rounds {
					_ = client.SetReadDeadline(time.Now().Add(-time.Second))
					_ = client.SetReadDeadline(time.Time{})
				}
			})
		}
		setters.Wait()
	})
}

func TestPassedDeadlineEndsARead(t *testing.T) {
	Test(t, func(t *testing.T, _ *Network) {
		client, _ := newPipe(&net.TCPAddr{}, &net.TCPAddr{})
		read := make(chan error)
		go func() {
			_, err := client.Read(make([]byte, 1))
			read <- err
		}()
		time.Sleep(time.Second)
		if err := client.SetReadDeadline(time.Now()); err != nil {
			t.Fatal(err)
		}
		if err, ok := (<-read).(net.Error); !ok || !err.Timeout() {
			t.Errorf("the read ended with %v, want a timeout", err)
		}
	})
}
