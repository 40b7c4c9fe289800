package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// waveCase: the operator starts a wave of four machines. In the first answer of the platform's list, the
// entry of one of them comes from another writer: its state isn't one that the pages name. The machine
// stays, and all later answers hold. Rule MIXED: the wave may not be said to be done before the upkeep of
// that machine has begun.
func waveCase(rec *recorder, repo string, trouble bool) bool {
	const workers = 6
	c := newCluster(rec, repo)
	defer c.stopAll()
	p := newFleetPlatform(rec)
	defer p.server.Close()
	c.machines = p.address
	c.startAll()
	runs := newLedger()
	var mu sync.Mutex
	var all []*worker
	add := func(id, zone string) *worker {
		w := newWorker(rec, runs, id, zone, 16000, c.control)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, w)
		return w
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, w := range all {
			w.terminate("the case is over")
		}
	}()
	p.revive = func(machine, zone string) *worker { return add("i-new-"+machine, zone) }
	for i := range workers {
		p.add(fmt.Sprintf("m-%d", i), add(fmt.Sprintf("i-%02d", i), zoneOf(i)))
	}
	c.configure(3)
	time.Sleep(2 * heartbeatInterval)
	wave := []string{"m-0", "m-1", "m-2", "m-3"}
	p.mu.Lock()
	p.wave, p.waveMachines = 1, map[string]bool{}
	for _, name := range wave {
		p.waveMachines[name] = true
	}
	if trouble {
		p.foreign, p.foreignMachine = 1, "m-2"
	}
	p.mu.Unlock()
	order := fmt.Sprintf(`{"wave":1,"machines":["%s"],"%s":40,"%s":2}`, strings.Join(wave, `","`), wire("field.duration"), wire("field.maxdown"))
	i := 0
	until("the wave is acknowledged", 10*time.Second, func() bool {
		i++
		return c.call("POST", c.control[i%len(c.control)], wire("path.startwave"), order).status == 200
	})
	until("the wave is said to be done", 60*time.Second, func() bool {
		time.Sleep(400 * time.Millisecond)
		i++
		answer := c.call("GET", c.control[i%len(c.control)], wire("path.wavestate")+"1", "")
		return answer.status == 200 && strings.Contains(answer.body, `"done"`)
	})
	begun, missing := p.begun()
	rec.logf("when the wave is said to be done: upkeep has begun on %v, hasn't begun on %v", begun, missing)
	time.Sleep(10 * time.Second)
	begun, later := p.begun()
	rec.logf("10 s later: upkeep has begun on %v, hasn't begun on %v, which is in the list all the time", begun, later)
	if len(missing) > 0 {
		rec.logf("MIXED: the wave is said to be done, and %v stays and hasn't begun its upkeep", missing)
	}
	return len(missing) > 0
}
