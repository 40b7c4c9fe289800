package carrier

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryferry/bilberryferry/internal/control"
)

// maxCarriersPerDataCentre bounds the carriers of a data centre that get orders. With more of
// them, each order and each outcome would wait longer for the next message, since the leader's
// messages are divided among the carriers. The others take over from those that fail.
const maxCarriersPerDataCentre = 2

// routeTo returns the route for a worker, or nil if no carrier is usable. Rendezvous hashing
// spreads workers evenly over the first usable carriers of their data centre, or over all carriers
// if the data centre has none.
func (f *Forwarder) routeTo(to control.Target) *route {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := time.Now()
	var local, others []*route
	for _, r := range f.routes {
		usable, dataCentre := r.usable(now)
		switch {
		case !usable:
		case dataCentre == to.DataCentre:
			local = append(local, r)
		default:
			others = append(others, r)
		}
		if len(local) == maxCarriersPerDataCentre {
			break
		}
	}
	if len(local) > 0 {
		return highestWeight(local, to.Worker)
	}
	return highestWeight(others, to.Worker)
}

// highestWeight returns the route with the highest weight for a worker, nil if there is none.
func highestWeight(routes []*route, worker string) (best *route) {
	highest := uint64(0)
	for _, r := range routes {
		if weight := xxhash.Sum64String(r.address + "/" + worker); best == nil || weight > highest {
			best, highest = r, weight
		}
	}
	return best
}

// carriersInUse returns how many of the carriers get orders while all are usable. A carrier whose
// data centre isn't known yet counts too.
func carriersInUse(routes []*route) int {
	inUse := 0
	byDataCentre := map[string]int{}
	for _, r := range routes {
		dataCentre := r.dataCentreName()
		byDataCentre[dataCentre]++
		if dataCentre == "" || byDataCentre[dataCentre] <= maxCarriersPerDataCentre {
			inUse++
		}
	}
	return inUse
}
