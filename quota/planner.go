package quota

import (
	"cmp"
	"slices"

	"github.com/bilberryferry/bilberryferry/placement"
)

// availabilityTicks is for how many ticks a figure heard from another data centre is
// believed; after that it is asked again.
const availabilityTicks = 2

// requestTimeoutTicks is after how many ticks an ask without a reply counts as lost.
const requestTimeoutTicks = 2

// perMille is the whole of a share in thousandths.
const perMille = 1000

// Figure is what a data centre tells others of a customer.
type Availability struct {
	Customer string `cbor:"1,keyasint"`
	// Spare is what it could give at that moment.
	Spare placement.Resources `cbor:"2,keyasint"`
}

// Reply answers an ask.
type Reply struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// Transfer is the transfer that the asker has not acknowledged; its
	// Sequence is zero when there is none.
	Transfer Transfer `cbor:"3,keyasint"`
	// Figures are of the customers that the ask wanted something for.
	Availabilities []Availability `cbor:"4,keyasint,omitempty"`
}

// heard is a figure with its age.
type observation struct {
	spare placement.Resources
	tick  uint64
}

// Planner decides whom to ask, by what others told of their spare allotments.
// That is a guess that nothing safe depends on: it is kept in memory by the
// leader of a data centre and starts empty after a change of leader. It is not
// safe for concurrent use.
type Planner struct {
	self   string
	others []string
	tick   uint64
	// asked has the tick at which an ask that is not answered was sent.
	requestedAt map[string]uint64
	observed    map[string]map[string]observation
}

// NewPlanner returns the planner of a data centre; centres may include it.
func NewPlanner(self string, centres []string) *Planner {
	p := &Planner{
		self:        self,
		tick:        1,
		requestedAt: map[string]uint64{},
		observed:    map[string]map[string]observation{},
	}
	for _, c := range centres {
		if c != self {
			p.others = append(p.others, c)
			p.observed[c] = map[string]observation{}
		}
	}
	return p
}

// Tick notes that about a second has passed.
func (p *Planner) Tick() {
	p.tick++
}

// Ask returns the asks that go out now for what is lacking, at most one to each
// other data centre. A want goes to the data centre that is most likely to have
// it to spare, among those that owe no reply. The caller calls it again while
// something is lacking.
func (p *Planner) Requests(l *Ledger, lacking []Demand) []TransferRequest {
	demands := map[string][]Demand{}
	for _, w := range lacking {
		to, found := p.bestDonor(w)
		if !found {
			continue
		}
		demands[to] = append(demands[to], w)
	}
	var asks []TransferRequest
	for _, to := range p.others {
		if len(demands[to]) == 0 {
			continue
		}
		p.requestedAt[to] = p.tick
		asks = append(asks, l.Request(to, demands[to]...))
	}
	return asks
}

// waiting says whether a data centre owes a reply.
func (p *Planner) awaitingReply(to string) bool {
	at, open := p.requestedAt[to]
	return open && p.tick-at < requestTimeoutTicks
}

// candidate is a data centre that could be asked.
type candidate struct {
	name string
	// covers is how much of the want the last figures cover, in thousandths.
	coverage int64
	// heard is when that was heard; zero for never.
	observedAt uint64
}

// best returns the data centre that covers most of a want by the last figures,
// among those that owe no reply. Figures older than availabilityTicks say nothing:
// such a data centre is taken to cover it all.
//
// Failure guarded against: figures are always too old because asks are rare,
// all data centres look alike, and the same one, which has nothing, is asked
// for ever. Of those that look alike the one heard of longest ago is asked.
func (p *Planner) bestDonor(w Demand) (string, bool) {
	var list []candidate
	for _, name := range p.others {
		if p.awaitingReply(name) {
			continue
		}
		h, known := p.observed[name][w.Customer]
		c := candidate{name, perMille, h.tick}
		if known && p.tick-h.tick < availabilityTicks {
			c.coverage = coverage(h.spare, w.Amount)
		}
		if c.coverage > 0 {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.coverage, a.coverage), cmp.Compare(a.observedAt, b.observedAt))
	}).name, true
}

// covers says how much of a need is spare, in thousandths, by the field that is
// shortest.
func coverage(spare, need placement.Resources) int64 {
	field := func(spare, need int64) int64 {
		if need <= 0 {
			return perMille
		}
		return min(perMille, max(0, spare)*perMille/need)
	}
	return min(field(spare.CPU, need.CPU), field(spare.Memory, need.Memory), field(spare.Accelerators, need.Accelerators))
}

// Answer makes the command that answers an ask. waiting gives the leader's
// count of what a customer uses and what its waiting work needs; that is kept.
func (p *Planner) DebitCommand(a TransferRequest, waiting func(customer string) placement.Resources) DebitCommand {
	answer := DebitCommand{Request: a, Reserve: make([]placement.Resources, len(a.Demands))}
	for i, w := range a.Demands {
		answer.Reserve[i] = waiting(w.Customer)
	}
	return answer
}

// Reply makes the answer to an ask, after Ledger.Give was applied for it
// whatever that returned. waiting is as for Answer.
func (p *Planner) Reply(l *Ledger, a TransferRequest, waiting func(customer string) placement.Resources) Reply {
	r := Reply{From: p.self, To: a.From}
	r.Transfer, _ = l.Outgoing(a.From)
	for _, w := range a.Demands {
		spare := subtract(l.Allotment(w.Customer), waiting(w.Customer))
		r.Availabilities = append(r.Availabilities, Availability{Customer: w.Customer, Spare: spare})
	}
	return r
}

// minus subtracts field by field, not below zero.
func subtract(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		CPU:          max(0, a.CPU-b.CPU),
		Memory:       max(0, a.Memory-b.Memory),
		Accelerators: max(0, a.Accelerators-b.Accelerators),
	}
}

// Heard takes the figures of a reply. Its transfer is for Ledger.Take.
func (p *Planner) Observe(r Reply) {
	figures, known := p.observed[r.From]
	if !known {
		return
	}
	delete(p.requestedAt, r.From)
	for _, f := range r.Availabilities {
		figures[f.Customer] = observation{f.Spare, p.tick}
	}
}
