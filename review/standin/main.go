// Command standin plays the cases of the review. It starts the system's own program as
// separate processes, plays the clients, the backend servers and the platform's store
// itself, and judges what these see.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases maps the names of cases to what plays them. trouble is false for a run without
// the disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"early-answer":  earlyAnswer,
	"large-bodies":  largeBodies,
	"second-term":   secondTerm,
	"foreign-entry": foreignEntry,
}

// maxTime limits a case.
const maxTime = 110 * time.Second

// playFor plays a case until it ends, its time is over or a signal stops it.
func playFor(f *fleet, play func(*fleet, bool) error, trouble bool) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ended := make(chan error, 1)
	go func() { ended <- play(f, trouble) }()
	select {
	case err := <-ended:
		return err
	case s := <-stop:
		return fmt.Errorf("stopped by signal %q", s)
	case <-time.After(maxTime):
		return errors.New("the case took too long")
	}
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := newRecorder(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fleet, err := newFleet(absolute, record)
	if err == nil {
		err = playFor(fleet, play, os.Getenv("TROUBLE") != "0")
	}
	fleet.close()
	if err != nil {
		record.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if n := record.violations(); n > 0 {
		fmt.Printf("%s: the rule was broken %d times\n", *name, n)
		return 1
	}
	fmt.Printf("%s: the rule held\n", *name)
	return 0
}
