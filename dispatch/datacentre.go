package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A job prefers the workers of one data centre while there is room. If its tasks were spread over
// all data centres, the loss of any of them would make nearly every running job wait for the
// tasks there. The data centre follows from the ID of the job, so that each is preferred by about
// as many jobs.

// recordDataCentres records the data centres of each pool, in order.
func (p *planner) recordDataCentres() {
	p.dataCentres = make(map[string][]string, len(p.byService))
	for service, workers := range p.byService {
		for _, w := range workers {
			known := p.dataCentres[service]
			if position, found := slices.BinarySearch(known, w.DataCentre); !found {
				p.dataCentres[service] = slices.Insert(known, position, w.DataCentre)
			}
		}
	}
}

// setDataCentre sets the data centre that s prefers. When one is lost or returns, only the jobs that
// preferred it, or then do, change theirs.
func (p *planner) setDataCentre(s *Step) {
	s.dataCentre = ""
	if len(p.dataCentres[s.Service]) < 2 {
		return
	}
	highest := uint64(0)
	for _, dataCentre := range p.dataCentres[s.Service] {
		if weight := xxhash.Sum64String(s.Key.Job + "/" + dataCentre); s.dataCentre == "" || weight > highest {
			s.dataCentre, highest = dataCentre, weight
		}
	}
}

// dataCentreRank is 0 for workers in the data centre that s prefers, 1 for others. A worker without
// room for a task, of which n fit, isn't preferred.
func dataCentreRank(s *Step, w *Worker, n int) int {
	if s.dataCentre == "" || n > 0 && w.DataCentre == s.dataCentre {
		return 0
	}
	return 1
}
