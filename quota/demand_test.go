package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// Parameters of the simulation. mainCentreShare of a customer's demand is in one data
// centre, which changes every mainCentrePeriodTicks. A tick is 0.1 s, and a message takes
// one tick. The values named Ticks, Start and End are in ticks, those named CPU and
// Limit in thousandths of a core. startsPerSec is the rate of new tasks of each
// customer.
const (
	simCentres            = 4
	simCustomers          = 100
	simTicks              = 12000
	ticksPerSec           = 10
	taskCPU               = 1000
	taskSeconds           = 6
	startsPerSec          = 2
	simLimit              = 17 * taskCPU
	mainCentreShare       = 0.7
	mainCentrePeriodTicks = 1200
	epochTicks            = 50
	partitionStartTick    = 6000
	partitionEndTick      = 7200
	simSeed               = 7
	// demandWeight is the weight of the newest value in the moving average of
	// demand.
	demandWeight = 0.02
	// minMissingCPU is the least amount, in thousandths of a core, by which the
	// allotment of a data centre must be below its share before the data centre requests
	// slots in the proportional strategy.
	minMissingCPU = taskCPU / 4
)

// strategy is one way of adapting the allotments of the data centres to demand.
type strategy struct {
	name string
	// pool lets every data centre start tasks until the customer's usage over all
	// data centres reaches its limit. static never transfers slots.
	pool, static bool
	// proportional sets shares by demand, which all data centres exchange each epoch. In
	// the other strategies a data centre requests its shortfall.
	proportional bool
	// reserveQueued makes a donor reserve what its queued tasks need.
	// reservedAverageFraction is the fraction of the moving average of demand that a
	// donor reserves.
	reserveQueued           bool
	reservedAverageFraction float64
	// checkInterval is the number of ticks between two checks for shortfalls.
	checkInterval int
	// partitioned separates data centre 0 from the others for two minutes.
	partitioned bool
}

// queuedTask is a task that waits to start.
type queuedTask struct{ arrivalTick int }

// centre is one simulated data centre. Its arrays are by customer.
type centre struct {
	ledger  *quota.Ledger
	planner *quota.Planner
	// used is the CPU of the running tasks, in thousandths of a core.
	used  [simCustomers]int64
	queue [simCustomers][]queuedTask
	// demand is the moving average of the CPU of running and queued tasks, in
	// thousandths of a core.
	demand [simCustomers]float64
	// endingTasks has, by tick, the customer of each task that ends at the tick.
	endingTasks map[int][]int
}

// simulation is one run of a strategy.
type simulation struct {
	strategy
	random      *rand.Rand
	centres     []*centre
	centreNames []string
	customerIDs []string
	// inbox has the deliveries of messages in this tick, nextInbox those in the
	// next one.
	inbox     []func()
	nextInbox []func()
	tick      int
	// waits has the wait of each started task, in ticks.
	waits []int
	// avoidableWaitTicks is the number of ticks, summed over data centres and
	// customers, in which tasks waited although their customer was below its
	// limit.
	avoidableWaitTicks int
	messages           int
	bytes              int
}

// newSimulation returns a simulation of a strategy with all data centres
// configured.
func newSimulation(s strategy, seed uint64) *simulation {
	m := &simulation{strategy: s, random: rand.New(rand.NewPCG(seed, seed))}
	config := quota.Config{Version: 1, Limits: map[string]placement.Resources{}}
	for c := range simCustomers {
		m.customerIDs = append(m.customerIDs, fmt.Sprintf("team-%02d", c))
		config.Limits[m.customerIDs[c]] = placement.Resources{CPU: simLimit, Memory: quota.Unlimited}
	}
	for i := range simCentres {
		m.centreNames = append(m.centreNames, fmt.Sprintf("hall-%d", i))
	}
	config.InitialOwners = m.centreNames
	for _, name := range m.centreNames {
		ledger := quota.NewLedger(name)
		_ = ledger.Configure(config)
		m.centres = append(m.centres, &centre{
			ledger: ledger, planner: quota.NewPlanner(name, m.centreNames), endingTasks: map[int][]int{},
		})
	}
	return m
}

// send delivers a message one tick later, unless data centre 0 is partitioned
// from the others.
func (m *simulation) send(from, to int, message any, deliver func()) {
	encoded, _ := cbor.Marshal(message)
	m.messages++
	m.bytes += len(encoded)
	if partitioned := m.partitioned && m.tick >= partitionStartTick && m.tick < partitionEndTick; partitioned && (from == 0 || to == 0) {
		return
	}
	m.nextInbox = append(m.nextInbox, deliver)
}

// run simulates all ticks.
func (m *simulation) run() {
	for m.tick = range simTicks {
		m.inbox, m.nextInbox = m.nextInbox, nil
		for _, deliver := range m.inbox {
			deliver()
		}
		m.arrive()
		for i, c := range m.centres {
			for _, customer := range c.endingTasks[m.tick] {
				c.used[customer] -= taskCPU
			}
			delete(c.endingTasks, m.tick)
			m.start(c)
			m.rebalance(i, c)
		}
	}
}

// arrive adds new tasks to the queues.
func (m *simulation) arrive() {
	for customer := range simCustomers {
		mainCentre := (customer + (m.tick+customer*mainCentrePeriodTicks/simCustomers)/mainCentrePeriodTicks) % simCentres
		for i, c := range m.centres {
			share := (1 - mainCentreShare) / (simCentres - 1)
			if i == mainCentre {
				share = mainCentreShare
			}
			if m.random.Float64() < share*startsPerSec/ticksPerSec {
				c.queue[customer] = append(c.queue[customer], queuedTask{m.tick})
			}
		}
	}
}

// mayStart reports whether a data centre may start one more task of a customer.
func (m *simulation) mayStart(c *centre, customer int) bool {
	if m.pool {
		return m.totalUsed(customer)+taskCPU <= simLimit
	}
	return c.used[customer]+taskCPU <= c.ledger.Allotment(m.customerIDs[customer]).CPU
}

// totalUsed returns a customer's usage over all data centres.
func (m *simulation) totalUsed(customer int) int64 {
	var sum int64
	for _, c := range m.centres {
		sum += c.used[customer]
	}
	return sum
}

// start starts the queued tasks that the strategy permits.
func (m *simulation) start(c *centre) {
	for customer := range simCustomers {
		for len(c.queue[customer]) > 0 && m.mayStart(c, customer) {
			m.waits = append(m.waits, m.tick-c.queue[customer][0].arrivalTick)
			c.queue[customer] = c.queue[customer][1:]
			c.used[customer] += taskCPU
			end := m.tick + 1 + int(m.random.ExpFloat64()*taskSeconds*ticksPerSec)
			c.endingTasks[end] = append(c.endingTasks[end], customer)
		}
		if len(c.queue[customer]) > 0 && m.totalUsed(customer)+taskCPU <= simLimit {
			m.avoidableWaitTicks++
		}
	}
}

// rebalance sends the messages by which a data centre adapts its allotments in this
// tick.
func (m *simulation) rebalance(i int, c *centre) {
	if m.pool || m.static {
		return
	}
	for customer := range simCustomers {
		currentDemand := float64(c.used[customer]) + float64(len(c.queue[customer]))*taskCPU
		c.demand[customer] += demandWeight * (currentDemand - c.demand[customer])
	}
	if m.proportional {
		m.requestFairShares(i, c)
		return
	}
	if m.tick%ticksPerSec == 0 {
		c.planner.Tick()
	}
	var demands []quota.Demand
	for customer, id := range m.customerIDs {
		if n := int64(len(c.queue[customer])); n > 0 {
			missing := c.used[customer] + n*taskCPU - c.ledger.Allotment(id).CPU
			demands = append(demands, quota.Demand{Customer: id, Amount: placement.Resources{CPU: missing}})
		}
	}
	if m.tick%m.checkInterval != 0 {
		return
	}
	for _, request := range c.planner.Requests(c.ledger, demands) {
		m.requestTransfer(i, request, nil)
	}
}

// requestFairShares is the proportional strategy: every epochTicks all data centres
// exchange their moving averages of demand, and those with less than their fair share
// request slots from those with more than theirs.
func (m *simulation) requestFairShares(i int, c *centre) {
	if m.tick%epochTicks != 0 {
		return
	}
	demands := make([][]quota.Demand, simCentres)
	donorReserves := make([][]placement.Resources, simCentres)
	for customer, id := range m.customerIDs {
		missing := m.fairShare(i, customer) - c.ledger.Allotment(id).CPU
		for j, other := range m.centres {
			surplus := other.ledger.Allotment(id).CPU - m.fairShare(j, customer)
			if missing >= minMissingCPU && surplus > 0 && i != j {
				amount := min(missing, surplus)
				missing -= amount
				demands[j] = append(demands[j], quota.Demand{Customer: id, Amount: placement.Resources{CPU: amount}})
				donorReserves[j] = append(donorReserves[j], placement.Resources{CPU: m.fairShare(j, customer)})
			}
		}
	}
	for j := range m.centres {
		if i != j {
			m.send(i, j, c.demand, func() {})
		}
		if len(demands[j]) > 0 {
			m.requestTransfer(i, c.ledger.Request(m.centreNames[j], demands[j]...), donorReserves[j])
		}
	}
}

// fairShare returns a data centre's share of a customer's limit, in thousandths of a
// core, in proportion to the moving averages of demand. One core is added to the
// average of each data centre, so that idle ones have a share.
func (m *simulation) fairShare(i, customer int) int64 {
	var sum float64
	for _, c := range m.centres {
		sum += c.demand[customer] + taskCPU
	}
	return int64(simLimit * (m.centres[i].demand[customer] + taskCPU) / sum)
}

// reserved returns what a donor reserves of each customer's allotment.
func (m *simulation) reserved(c *centre) func(string) placement.Resources {
	return func(id string) placement.Resources {
		customer := slices.Index(m.customerIDs, id)
		reserve := c.used[customer]
		if m.reserveQueued {
			reserve += int64(len(c.queue[customer])) * taskCPU
		}
		return placement.Resources{CPU: max(reserve, int64(m.reservedAverageFraction*c.demand[customer]))}
	}
}

// requestTransfer sends a transfer request, the response and the acknowledgement. reserve
// is the reserve of the donor for each demand; only the proportional strategy uses it.
func (m *simulation) requestTransfer(from int, request quota.TransferRequest, reserve []placement.Resources) {
	to := slices.Index(m.centreNames, request.To)
	recipient, donor := m.centres[from], m.centres[to]
	used := func(id string) placement.Resources {
		return placement.Resources{CPU: donor.used[slices.Index(m.customerIDs, id)]}
	}
	m.send(from, to, request, func() {
		command := donor.planner.DebitCommand(request, m.reserved(donor))
		if m.proportional {
			command.Reserve = reserve
		}
		_, _ = donor.ledger.Debit(command, used)
		reply := donor.planner.Reply(donor.ledger, request, m.reserved(donor))
		m.send(to, from, reply, func() {
			recipient.planner.Observe(reply)
			if reply.Transfer.Sequence == 0 {
				return
			}
			_ = recipient.ledger.Credit(reply.Transfer)
			ack := recipient.ledger.Request(request.To)
			m.send(from, to, ack, func() { donor.ledger.Acknowledge(ack) })
		})
	})
}

// BenchmarkDemand compares the strategies, each on one run with a fixed seed over 20
// simulated minutes. The strategies named "ask" request their shortfall at the given
// interval; in those named "cut" a partition separates one data centre. "unneeded-ms"
// is the time per started task for which tasks waited although their customer was
// below its limit. An iteration is one run.
func BenchmarkDemand(b *testing.B) {
	for _, s := range []strategy{
		{name: "pool", pool: true},
		{name: "static", static: true},
		{name: "proportional", proportional: true},
		{name: "ask-0.1s", checkInterval: 1},
		{name: "ask-1s", checkInterval: 10},
		{name: "ask-2s", checkInterval: 20},
		{name: "ask-1s-waiting", checkInterval: 10, reserveQueued: true},
		{name: "ask-1s-average", checkInterval: 10, reservedAverageFraction: 1},
		{name: "proportional-cut", proportional: true, partitioned: true},
		{name: "ask-1s-cut", checkInterval: 10, partitioned: true},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				m := newSimulation(s, simSeed)
				m.run()
				m.report(b)
			}
		})
	}
}

// report reports the results of the run as benchmark metrics.
func (m *simulation) report(b *testing.B) {
	slices.Sort(m.waits)
	sum, delayed := 0, 0
	for _, w := range m.waits {
		sum += w
		if w > 0 {
			delayed++
		}
	}
	n := float64(len(m.waits))
	seconds := float64(simTicks) / ticksPerSec
	b.ReportMetric(float64(sum)/n/ticksPerSec*1000, "wait-ms")
	b.ReportMetric(float64(m.waits[int(math.Floor(n*0.99))])/ticksPerSec, "p99-s")
	b.ReportMetric(100*float64(delayed)/n, "waited-%")
	b.ReportMetric(float64(m.avoidableWaitTicks)/n/ticksPerSec*1000, "unneeded-ms")
	b.ReportMetric(float64(m.messages)/seconds/simCentres, "msg/s")
	b.ReportMetric(float64(m.bytes)/seconds/simCentres, "B/s")
	b.ReportMetric(n, "starts")
}
