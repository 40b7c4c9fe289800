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

// Parameters of the simulation. Most of a customer's demand is in one data
// centre, which changes over time. One tick is 0.1 s and the delay of a message.
const (
	simCentres      = 4
	simCustomers    = 100
	simTicks        = 12000
	ticksPerSec     = 10
	taskCPU         = 1000
	taskSeconds     = 6
	startsPerSec    = 2
	simLimit        = 17 * taskCPU
	mainCentreShare = 0.7
	mainCentreTicks = 1200
	epochTicks      = 50
	partitionStart  = 6000
	partitionEnd    = 7200
)

// strategy is one way of adapting allotments to demand.
type strategy struct {
	name         string
	pool, static bool
	// proportional sets shares by demand, which all data centres exchange each
	// epoch. The other strategies request what is lacking.
	proportional bool
	// keepWaiting makes a donor keep what its waiting work needs. average is the
	// fraction of the moving average of demand that a donor keeps.
	keepWaiting bool
	average     float64
	// checkInterval is the number of ticks between two checks for lacking units.
	checkInterval int
	// partition separates data centre 0 from the others for two minutes.
	partition bool
}

// queuedTask is a queued task with the tick of its arrival.
type queuedTask struct{ since int }

// centre is one simulated data centre.
type centre struct {
	ledger  *quota.Ledger
	planner *quota.Planner
	used    [simCustomers]int64
	queue   [simCustomers][]queuedTask
	demand  [simCustomers]float64
	ends    map[int][]int
}

// simulation is one run of a strategy.
type simulation struct {
	strategy
	random        *rand.Rand
	centres       []*centre
	names         []string
	ids           []string
	inbox         []func()
	next          []func()
	tick          int
	waits         []int
	avoidableWait int
	messages      int
	bytes         int
}

// newSimulation returns a simulation of a strategy with all data centres
// configured.
func newSimulation(s strategy, seed uint64) *simulation {
	m := &simulation{strategy: s, random: rand.New(rand.NewPCG(seed, seed))}
	config := quota.Config{Version: 1, Limits: map[string]placement.Resources{}}
	for c := range simCustomers {
		m.ids = append(m.ids, fmt.Sprintf("team-%02d", c))
		config.Limits[m.ids[c]] = placement.Resources{CPU: simLimit, Memory: quota.Unlimited}
	}
	for i := range simCentres {
		m.names = append(m.names, fmt.Sprintf("hall-%d", i))
	}
	config.InitialOwners = m.names
	for _, name := range m.names {
		ledger := quota.NewLedger(name)
		_ = ledger.Configure(config)
		m.centres = append(m.centres, &centre{
			ledger: ledger, planner: quota.NewPlanner(name, m.names), ends: map[int][]int{},
		})
	}
	return m
}

// send delivers a message one tick later, unless data centre 0 is partitioned
// from the others.
func (m *simulation) send(from, to int, message any, deliver func()) {
	data, _ := cbor.Marshal(message)
	m.messages++
	m.bytes += len(data)
	if partitioned := m.partition && m.tick >= partitionStart && m.tick < partitionEnd; partitioned && (from == 0 || to == 0) {
		return
	}
	m.next = append(m.next, deliver)
}

// run simulates all ticks.
func (m *simulation) run() {
	for m.tick = range simTicks {
		m.inbox, m.next = m.next, nil
		for _, deliver := range m.inbox {
			deliver()
		}
		m.arrive()
		for i, c := range m.centres {
			for _, customer := range c.ends[m.tick] {
				c.used[customer] -= taskCPU
			}
			delete(c.ends, m.tick)
			m.start(c)
			m.rebalance(i, c)
		}
	}
}

// arrive adds new tasks to the queues.
func (m *simulation) arrive() {
	for customer := range simCustomers {
		hot := (customer + (m.tick+customer*mainCentreTicks/simCustomers)/mainCentreTicks) % simCentres
		for i, c := range m.centres {
			share := (1 - mainCentreShare) / (simCentres - 1)
			if i == hot {
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
		return m.total(customer)+taskCPU <= simLimit
	}
	return c.used[customer]+taskCPU <= c.ledger.Allotment(m.ids[customer]).CPU
}

// total returns a customer's usage over all data centres.
func (m *simulation) total(customer int) int64 {
	var sum int64
	for _, c := range m.centres {
		sum += c.used[customer]
	}
	return sum
}

// start starts the queued tasks that the allotments permit.
func (m *simulation) start(c *centre) {
	for customer := range simCustomers {
		for len(c.queue[customer]) > 0 && m.mayStart(c, customer) {
			m.waits = append(m.waits, m.tick-c.queue[customer][0].since)
			c.queue[customer] = c.queue[customer][1:]
			c.used[customer] += taskCPU
			end := m.tick + 1 + int(m.random.ExpFloat64()*taskSeconds*ticksPerSec)
			c.ends[end] = append(c.ends[end], customer)
		}
		if len(c.queue[customer]) > 0 && m.total(customer)+taskCPU <= simLimit {
			m.avoidableWait++
		}
	}
}

// rebalance sends the messages of the strategy for one tick.
func (m *simulation) rebalance(i int, c *centre) {
	if m.pool || m.static {
		return
	}
	for customer := range simCustomers {
		now := float64(c.used[customer]) + float64(len(c.queue[customer]))*taskCPU
		c.demand[customer] += 0.02 * (now - c.demand[customer])
	}
	if m.proportional {
		m.share(i, c)
		return
	}
	if m.tick%ticksPerSec == 0 {
		c.planner.Tick()
	}
	var lacking []quota.Demand
	for customer, id := range m.ids {
		if n := int64(len(c.queue[customer])); n > 0 {
			lack := c.used[customer] + n*taskCPU - c.ledger.Allotment(id).CPU
			lacking = append(lacking, quota.Demand{Customer: id, Amount: placement.Resources{CPU: lack}})
		}
	}
	if m.tick%m.checkInterval != 0 {
		return
	}
	for _, ask := range c.planner.Requests(c.ledger, lacking) {
		m.requestTransfer(i, ask, nil)
	}
}

// share is the proportional strategy: at the end of each epoch all data centres
// exchange their averages of demand, and those below their share request slots
// from those above theirs.
func (m *simulation) share(i int, c *centre) {
	if m.tick%epochTicks != 0 {
		return
	}
	wants := make([][]quota.Demand, simCentres)
	reserves := make([][]placement.Resources, simCentres)
	for customer, id := range m.ids {
		lack := m.fairShare(i, customer) - c.ledger.Allotment(id).CPU
		for j, other := range m.centres {
			above := other.ledger.Allotment(id).CPU - m.fairShare(j, customer)
			if lack >= taskCPU/4 && above > 0 && i != j {
				want := min(lack, above)
				lack -= want
				wants[j] = append(wants[j], quota.Demand{Customer: id, Amount: placement.Resources{CPU: want}})
				reserves[j] = append(reserves[j], placement.Resources{CPU: m.fairShare(j, customer)})
			}
		}
	}
	for j := range m.centres {
		if i != j {
			m.send(i, j, c.demand, func() {})
		}
		if len(wants[j]) > 0 {
			m.requestTransfer(i, c.ledger.Request(m.names[j], wants[j]...), reserves[j])
		}
	}
}

// fairShare returns a data centre's share by the averages of demand. One core is
// added for each data centre, so that idle ones keep a share.
func (m *simulation) fairShare(i, customer int) int64 {
	var sum float64
	for _, c := range m.centres {
		sum += c.demand[customer] + taskCPU
	}
	return int64(simLimit * (m.centres[i].demand[customer] + taskCPU) / sum)
}

// reserved returns what a donor keeps of each customer's allotment.
func (m *simulation) reserved(c *centre) func(string) placement.Resources {
	return func(id string) placement.Resources {
		customer := slices.Index(m.ids, id)
		keep := c.used[customer]
		if m.keepWaiting {
			keep += int64(len(c.queue[customer])) * taskCPU
		}
		return placement.Resources{CPU: max(keep, int64(m.average*c.demand[customer]))}
	}
}

// requestTransfer sends a transfer request, its reply and the acknowledgement.
func (m *simulation) requestTransfer(from int, a quota.TransferRequest, reserve []placement.Resources) {
	to := slices.Index(m.names, a.To)
	asker, giver := m.centres[from], m.centres[to]
	used := func(id string) placement.Resources {
		return placement.Resources{CPU: giver.used[slices.Index(m.ids, id)]}
	}
	m.send(from, to, a, func() {
		answer := giver.planner.DebitCommand(a, m.reserved(giver))
		if m.proportional {
			answer.Reserve = reserve
		}
		_, _ = giver.ledger.Debit(answer, used)
		reply := giver.planner.Reply(giver.ledger, a, m.reserved(giver))
		m.send(to, from, reply, func() {
			asker.planner.Observe(reply)
			if reply.Transfer.Sequence == 0 {
				return
			}
			_ = asker.ledger.Credit(reply.Transfer)
			ack := asker.ledger.Request(a.To)
			m.send(from, to, ack, func() { giver.ledger.Acknowledge(ack) })
		})
	})
}

// BenchmarkDemand compares the strategies on one seeded run of 20 minutes.
// "unneeded-ms" is the time per start for which a task waited although its
// customer was below its limit. A run takes one iteration.
func BenchmarkDemand(b *testing.B) {
	for _, s := range []strategy{
		{name: "pool", pool: true},
		{name: "static", static: true},
		{name: "proportional", proportional: true},
		{name: "ask-0.1s", checkInterval: 1},
		{name: "ask-1s", checkInterval: 10},
		{name: "ask-2s", checkInterval: 20},
		{name: "ask-1s-waiting", checkInterval: 10, keepWaiting: true},
		{name: "ask-1s-average", checkInterval: 10, average: 1},
		{name: "proportional-cut", proportional: true, partition: true},
		{name: "ask-1s-cut", checkInterval: 10, partition: true},
	} {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				m := newSimulation(s, 7)
				m.run()
				m.report(b)
			}
		})
	}
}

// report reports the results of the run as benchmark metrics.
func (m *simulation) report(b *testing.B) {
	slices.Sort(m.waits)
	sum, late := 0, 0
	for _, w := range m.waits {
		sum += w
		if w > 0 {
			late++
		}
	}
	n := float64(len(m.waits))
	seconds := float64(simTicks) / ticksPerSec
	b.ReportMetric(float64(sum)/n/ticksPerSec*1000, "wait-ms")
	b.ReportMetric(float64(m.waits[int(math.Floor(n*0.99))])/ticksPerSec, "p99-s")
	b.ReportMetric(100*float64(late)/n, "waited-%")
	b.ReportMetric(float64(m.avoidableWait)/n/ticksPerSec*1000, "unneeded-ms")
	b.ReportMetric(float64(m.messages)/seconds/simCentres, "msg/s")
	b.ReportMetric(float64(m.bytes)/seconds/simCentres, "B/s")
	b.ReportMetric(n, "starts")
}
