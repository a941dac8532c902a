// Command harness plays the scripted cases of the second review: entry hosts as separate
// processes, with stand-ins of the store, the workers and the clients on loopback addresses.
//
// Usage: harness CASE RECORD. It runs in the root of the repository. The exit status is 1
// if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in
// the environment, the case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs one case and reports whether its rule was broken.
type play func(r *record, disrupted bool) (broken bool, err error)

var plays = map[string]play{
	"long-streams": playLongStreams,
	"long-history": playLongHistory,
	"unusual-name": playUnusualName,
	"dark-seeds":   playDarkSeeds,
	"two-models":   playTwoModels,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, path string, disrupted bool) (status int) {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := p(r, disrupted)
	err = errors.Join(err, r.close())
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
