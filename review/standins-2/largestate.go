package main

import "time"

// largeState hands in many jobs that are due later, and lets one core machine after the other lose its disk. After
// that the jobs must still be known.
func largeState(rec *record, target, folder string, trouble bool) bool {
	const (
		// 7,700 jobs of 3 steps and 4,000 bytes of spec fit into the memory of a core instance. They come at some 2.3 times
		// the site's usual rate of 44 a second, for longer than its bursts, with the disruption and without.
		jobCount, stepCount, specBytes, perSecond = 7700, 3, 4000, 100
		// betweenLosses is the time from the return of one machine to the loss of the next: catch_up_s is 4 s and
		// contact_ms 3 s.
		betweenLosses = 6 * time.Second
		// answerLimit is how long the jobs are asked for after the last machine is back: recovery_s is 12 s.
		answerLimit = 15 * time.Second
	)
	c := newNightCluster(rec, target, folder, "127.82")
	c.boot(nightDesired())
	jobs := newNightJobs(c, jobCount, stepCount)
	jobs.handIn(specBytes, perSecond, 79*time.Second)
	time.Sleep(time.Second)
	c.logPeaks()

	leader := c.leader()
	if leader == nil {
		cannotRun("no core instance leads")
	}
	rec.log("%s leads", leader.name)
	lost := 0
	for _, p := range c.cores {
		if p == leader || lost == 2 {
			continue
		}
		lost++
		if trouble {
			c.kill(p)
			c.loseDisk(p)
			time.Sleep(time.Second)
			c.start(p, false)
		}
		time.Sleep(betweenLosses)
	}

	unknown := jobs.unknown(answerLimit)
	c.logPeaks()
	status, text := c.control("GET", name("path.configuration"), "", time.Second)
	rec.log("the operator reads the desired state: status %d, %d bytes", status, len(text))
	return unknown == 0 && status == 200
}
