package main

import (
	"fmt"
	"syscall"
	"time"
)

// playDarkSeeds kills all hosts at once. The hosts whose addresses are the seeds stay down,
// the others start again.
func playDarkSeeds(r *record, disrupted bool) (bool, error) {
	f, err := startFleet(r, 7)
	defer f.stop()
	if err != nil {
		return false, err
	}
	t := newTally()
	for i := range 6 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "writer", zone: zoneNames[i%3], slots: 6, model: true}
		if err := f.startWorker(w, serveShort(r, w, t)); err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := f.store.put("op/config", modelConfig(1, "writer")); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	alive := f.hosts[3:]
	if disrupted {
		r.write("all processes are killed")
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		time.Sleep(time.Second)
		for _, h := range alive {
			if err := f.startHost(h); err != nil {
				return false, err
			}
		}
		time.Sleep(4 * time.Second)
	} else {
		for _, h := range f.hosts[:3] {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		time.Sleep(4 * time.Second)
	}
	f.sendSteadily(t, "writer", alive, hotTenantFactor*usualPerS, hotTenantTime)
	return judgeQuota(r, t)
}
