package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A job prefers the workers of one data centre, its home, while there is room. If its tasks were
// spread over all data centres, the loss of any of them would make nearly every running job
// wait for the tasks there. The home follows from the ID of the job, so that each data centre
// is home to about as many jobs.

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

// setHome sets the home of s. When a data centre is lost or returns, only the jobs whose home it
// is or becomes get another one.
func (p *planner) setHome(s *Step) {
	s.home = ""
	if len(p.dataCentres[s.Service]) < 2 {
		return
	}
	highest := uint64(0)
	for _, dataCentre := range p.dataCentres[s.Service] {
		if weight := xxhash.Sum64String(s.Key.Job + "/" + dataCentre); s.home == "" || weight > highest {
			s.home, highest = dataCentre, weight
		}
	}
}

// homeRank is 0 for workers in the home of s, 1 for others. A worker without room for a task, of
// which n fit, isn't preferred.
func homeRank(s *Step, w *Worker, n int) int {
	if s.home == "" || n > 0 && w.DataCentre == s.home {
		return 0
	}
	return 1
}
