package quota

import (
	"cmp"
	"slices"

	"github.com/bilberryferry/bilberryferry/placement"
)

// availabilityTicks is the number of ticks for which an availability report of another
// data centre is used.
const availabilityTicks = 2

// requestTimeoutTicks is the number of ticks after which an unanswered request counts
// as lost.
const requestTimeoutTicks = 2

// perMille is the coverage, in thousandths, of a demand that is covered completely.
const perMille = 1000

// Availability is a data centre's report of what it can spare of a customer's
// allotment.
type Availability struct {
	Customer string `cbor:"1,keyasint"`
	// Spare is what the data centre could transfer when it sent the report. Its
	// fields are at least zero.
	Spare placement.Resources `cbor:"2,keyasint"`
}

// Reply is the response to a transfer request.
type Reply struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// Transfer is the transfer that the requesting data centre has not
	// acknowledged; its Sequence is zero if there is none.
	Transfer Transfer `cbor:"3,keyasint"`
	// Availabilities says, for each customer in the demands of the request, what the
	// data centre can spare.
	Availabilities []Availability `cbor:"4,keyasint,omitempty"`
}

// observation is an availability report with the tick at which it arrived.
type observation struct {
	spare placement.Resources
	tick  uint64
}

// Planner selects the data centres to request slots from, by their reports of
// spare allotments. The reports are estimates, and correctness doesn't depend on
// them: only the leader of a data centre holds them, in memory, and a new leader
// starts without any. A Planner is not safe for concurrent use.
type Planner struct {
	self         string
	otherCentres []string
	// tick is the current tick, counted from 1.
	tick uint64
	// requestedAt has the tick of the unanswered request to each data centre.
	requestedAt map[string]uint64
	// observed has the last report of each data centre for each customer.
	observed map[string]map[string]observation
}

// NewPlanner returns the planner of the data centre self; centres may include it.
func NewPlanner(self string, centres []string) *Planner {
	p := &Planner{
		self:        self,
		tick:        1,
		requestedAt: map[string]uint64{},
		observed:    map[string]map[string]observation{},
	}
	for _, c := range centres {
		if c != self {
			p.otherCentres = append(p.otherCentres, c)
			p.observed[c] = map[string]observation{}
		}
	}
	return p
}

// Tick advances the Planner's clock by one tick. Call it about once a second.
func (p *Planner) Tick() {
	p.tick++
}

// Requests returns the requests to send now, at most one to each other data
// centre. Each demand goes to the data centre most likely to have enough to
// spare, among those without an unanswered request. Demands for which there is no such
// data centre are left out. Call Requests again while a shortfall remains.
func (p *Planner) Requests(l *Ledger, shortfalls []Demand) []TransferRequest {
	demands := map[string][]Demand{}
	for _, demand := range shortfalls {
		to, found := p.bestDonor(demand)
		if !found {
			continue
		}
		demands[to] = append(demands[to], demand)
	}
	var requests []TransferRequest
	for _, to := range p.otherCentres {
		if len(demands[to]) == 0 {
			continue
		}
		p.requestedAt[to] = p.tick
		requests = append(requests, l.Request(to, demands[to]...))
	}
	return requests
}

// awaitingReply reports whether a request to the data centre is unanswered and doesn't
// count as lost yet.
func (p *Planner) awaitingReply(to string) bool {
	requestedAt, pending := p.requestedAt[to]
	return pending && p.tick-requestedAt < requestTimeoutTicks
}

// candidate is a data centre to which a request could go.
type candidate struct {
	name string
	// coverage is how much of the demand the last report covers, in thousandths.
	coverage int64
	// observedAt is the tick at which the last report arrived; zero if there is none.
	observedAt uint64
}

// bestDonor returns the data centre whose last report covers most of a demand, among
// those without an unanswered request. A data centre without a report, or with one
// that is availabilityTicks old or older, is assumed to cover the whole demand. It
// returns false if no data centre covers any of the demand.
//
// Guards against requesting from the same data centre forever although it has nothing
// to spare: if requests are rare, all reports are too old, so that all data centres are
// assumed to cover the demand. Among data centres with equal coverage the one with the
// oldest report is therefore selected.
func (p *Planner) bestDonor(demand Demand) (string, bool) {
	var candidates []candidate
	for _, name := range p.otherCentres {
		if p.awaitingReply(name) {
			continue
		}
		last, known := p.observed[name][demand.Customer]
		c := candidate{name, perMille, last.tick}
		if known && p.tick-last.tick < availabilityTicks {
			c.coverage = coverage(last.spare, demand.Amount)
		}
		if c.coverage > 0 {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.coverage, a.coverage), cmp.Compare(a.observedAt, b.observedAt))
	}).name, true
}

// coverage returns the part of need that spare covers, in thousandths. It is the coverage
// of the field that is covered least.
func coverage(spare, need placement.Resources) int64 {
	field := func(spare, need int64) int64 {
		if need <= 0 {
			return perMille
		}
		return min(perMille, max(0, spare)*perMille/need)
	}
	return min(field(spare.CPU, need.CPU), field(spare.Memory, need.Memory), field(spare.Accelerators, need.Accelerators))
}

// DebitCommand builds the command by which the donor decides on a request. required
// returns what a customer uses plus what its waiting work needs, as known to the
// leader; the donor keeps at least that much.
func (p *Planner) DebitCommand(request TransferRequest, required func(customer string) placement.Resources) DebitCommand {
	command := DebitCommand{Request: request, Reserve: make([]placement.Resources, len(request.Demands))}
	for i, demand := range request.Demands {
		command.Reserve[i] = required(demand.Customer)
	}
	return command
}

// Reply builds the reply to a request, after Ledger.Debit was applied for it with any
// result. required has the same meaning as in DebitCommand.
func (p *Planner) Reply(l *Ledger, request TransferRequest, required func(customer string) placement.Resources) Reply {
	r := Reply{From: p.self, To: request.From}
	r.Transfer, _ = l.Outgoing(request.From)
	for _, demand := range request.Demands {
		spare := subtract(l.Allotment(demand.Customer), required(demand.Customer))
		r.Availabilities = append(r.Availabilities, Availability{Customer: demand.Customer, Spare: spare})
	}
	return r
}

// subtract returns the fields of a less those of b, each at least zero.
func subtract(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		CPU:          max(0, a.CPU-b.CPU),
		Memory:       max(0, a.Memory-b.Memory),
		Accelerators: max(0, a.Accelerators-b.Accelerators),
	}
}

// Observe records the availabilities of a reply. It doesn't credit the transfer of the
// reply, which the caller passes to Ledger.Credit. Replies of unknown data centres are
// ignored.
func (p *Planner) Observe(r Reply) {
	reports, known := p.observed[r.From]
	if !known {
		return
	}
	delete(p.requestedAt, r.From)
	for _, report := range r.Availabilities {
		reports[report.Customer] = observation{report.Spare, p.tick}
	}
}
