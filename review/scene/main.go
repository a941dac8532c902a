// Command scene runs one scripted case of a review: daemons as separate processes, with
// stand-ins of the platform's store, of workers and of clients in this process.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxRunTime bounds a run; a case that takes longer couldn't run.
const maxRunTime = 110 * time.Second

// scene is a case. It returns what broke the rule, or "" if the rule held.
type scene func(f *fleet, trouble bool) (broken string, err error)

var scenes = map[string]scene{
	"cold":  coldScene,
	"pause": pauseScene,
	"drill": drillScene,
	"limit": limitScene,
	"name":  nameScene,
}

func main() {
	name := flag.String("scene", "", "name of the scene")
	daemon := flag.String("daemon", "target/mimosafrontd", "path of the daemon")
	template := flag.String("template", "deploy/settings.ini", "path of the template of the settings")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *daemon, *template, *recordPath))
}

func run(name, daemon, template, recordPath string) int {
	play, ok := scenes[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scene", name)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(maxRunTime, func() {
		fmt.Fprintln(os.Stderr, "the run takes too long")
		cleanUp()
		os.Exit(exitCannotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cleanUp()
		os.Exit(exitCannotRun)
	}()
	f := &fleet{daemon: daemon, template: template, record: newRecord()}
	broken, err := play(f, trouble)
	f.close()
	if writeErr := f.record.write(recordPath); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCannotRun
	case broken != "":
		fmt.Println("broken:", broken)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// mostWithin returns the largest number of requests that were sent and came within one
// window of the given length, and the start of that window.
func mostWithin(arrivals []arrival, window time.Duration) (most int, start time.Time) {
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			if !a.sent.Before(first.sent) && a.came.Sub(first.sent) <= window {
				n++
			}
		}
		if n > most {
			most, start = n, first.sent
		}
	}
	return most, start
}

// errNotReady is returned if the daemons did not get ready.
var errNotReady = errors.New("the daemons did not get ready")
