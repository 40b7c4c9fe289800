package main

import "time"

// memoryLimit hands in jobs that are due later, as fast as they are accepted, while the platform kills each process
// that uses more memory than its machine has. Without the disruption the jobs come at the usual rate, and their specs have the usual
// length.
func memoryLimit(rec *record, target, folder string, trouble bool) bool {
	const (
		// mayEnd is how often the processes of a machine may end by themselves in a day.
		mayEnd = 2
		// settleTime is how long the platform goes on to watch after the last job.
		settleTime  = 10 * time.Second
		answerLimit = 26 * time.Second
	)
	jobCount, stepCount, specBytes, perSecond := 16500, 1, 4000, 300
	if !trouble {
		jobCount, stepCount, specBytes, perSecond = 2000, 1, 600, 45
	}
	c := newNightCluster(rec, target, folder, "127.83")
	c.boot(nightDesired())
	go c.enforceMemory()
	jobs := newNightJobs(c, jobCount, stepCount)
	jobs.handIn(specBytes, perSecond, 59*time.Second)
	time.Sleep(settleTime)
	unknown := jobs.unknown(answerLimit)
	c.logPeaks()
	often := 0
	for _, p := range c.all() {
		p.mu.Lock()
		rec.log("processes of %s that ended by themselves: %d", p.name, p.exits)
		if p.exits > mayEnd && p.control != "" {
			often++
		}
		p.mu.Unlock()
	}
	return unknown == 0 && 2*often < len(c.cores)
}
