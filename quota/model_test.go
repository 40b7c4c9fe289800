package quota_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// customer is the only customer of the tests.
const customer = "reports"

// actionsPerRun is the number of random actions of one run of the model.
const actionsPerRun = 150

// model simulates some data centres, the network between them, and the configurations
// accepted so far.
type model struct {
	t *rapid.T
	// names and ledgers have the name and the ledger of each data centre, by its index.
	names   []string
	ledgers []*quota.Ledger
	configs []quota.Config
	// requests and transfers are the messages in flight.
	requests  []quota.TransferRequest
	transfers []quota.Transfer
	// results has the number of results of each kind of operation, for the log.
	results map[string]int
}

// uniform draws from [0, n) without the bias of rapid's ranges towards small
// values.
func uniform(n int) *rapid.Generator[int] {
	const bits = 12
	return rapid.Custom(func(t *rapid.T) int {
		value := 0
		for range bits {
			value <<= 1
			if rapid.Bool().Draw(t, "bit") {
				value++
			}
		}
		return value % n
	})
}

// newModel returns two to five data centres under the first configuration.
func newModel(t *rapid.T, results map[string]int) *model {
	m := &model{t: t, results: results}
	for i := range 2 + uniform(4).Draw(t, "centres") {
		m.names = append(m.names, fmt.Sprintf("hall-%d", i))
		m.ledgers = append(m.ledgers, quota.NewLedger(m.names[i]))
	}
	m.acceptConfig()
	for _, l := range m.ledgers {
		must.NoError(t, l.Configure(m.configs[0]))
	}
	return m
}

// acceptConfig adds a configuration with random limits, sometimes without the
// customer, and sometimes of a new generation.
func (m *model) acceptConfig() {
	limits := rapid.SampledFrom([]int64{quota.Unlimited, 0, 1, 3, 7, 1000, 1023, 4096, 50_000, 1 << 40})
	next := quota.Config{Version: uint64(len(m.configs) + 1), InitialOwners: m.names[:len(m.names)-1]}
	if n := len(m.configs); n > 0 {
		next.Generation = m.configs[n-1].Generation
		next.InitialOwners = m.configs[n-1].InitialOwners
	}
	if uniform(8).Draw(m.t, "generation") == 0 {
		next.Generation++
		next.InitialOwners = m.names[uniform(len(m.names)).Draw(m.t, "first initial owner"):]
	}
	next.Limits = map[string]placement.Resources{customer: {
		CPU: limits.Draw(m.t, "cpu"), Memory: limits.Draw(m.t, "memory"), Accelerators: limits.Draw(m.t, "accelerators"),
	}}
	if uniform(6).Draw(m.t, "gone") == 0 {
		next.Limits = nil
	}
	m.configs = append(m.configs, next)
}

// act performs one random action.
func (m *model) act() {
	i := uniform(len(m.ledgers)).Draw(m.t, "centre")
	switch action := uniform(100).Draw(m.t, "action"); {
	case action < 3:
		m.acceptConfig()
	case action < 15:
		// Versions are skipped, and older versions arrive after newer ones.
		c := m.configs[len(m.configs)-1-uniform(min(3, len(m.configs))).Draw(m.t, "back")]
		if err := m.ledgers[i].Configure(c); err != nil {
			must.ErrorIs(m.t, err, quota.ErrOldVersion)
		}
	case action < 20:
		m.restore(i)
	case action < 50:
		m.request(i, uniform(len(m.ledgers)).Draw(m.t, "to"))
	case action < 75:
		if msg, ok := takeMessage(m, &m.requests); ok {
			m.debit(msg)
		}
	default:
		if msg, ok := takeMessage(m, &m.transfers); ok {
			m.credit(msg)
		}
	}
}

// takeMessage returns a random message of the network. It may keep a copy of the
// message in the network. It returns false if the message is lost or there is none.
func takeMessage[M any](m *model, network *[]M) (M, bool) {
	var none M
	if len(*network) == 0 {
		return none, false
	}
	i := uniform(len(*network)).Draw(m.t, "message")
	msg := (*network)[i]
	delivery := uniform(10).Draw(m.t, "delivery")
	if delivery >= 3 {
		*network = slices.Delete(*network, i, i+1)
	}
	return msg, delivery < 9
}

// request sends a transfer request with random demands.
func (m *model) request(i, to int) {
	amounts := rapid.SampledFrom([]int64{0, 1, 100, 2000, 1 << 38})
	amount := placement.Resources{CPU: amounts.Draw(m.t, "cpu"), Memory: amounts.Draw(m.t, "memory"), Accelerators: amounts.Draw(m.t, "acc")}
	m.requests = append(m.requests, m.ledgers[i].Request(m.names[to], quota.Demand{Customer: customer, Amount: amount}))
}

// debit handles a transfer request at the donor.
func (m *model) debit(request quota.TransferRequest) {
	donor := m.ledgers[slices.Index(m.names, request.To)]
	allotment := donor.Allotment(customer)
	used := placement.Resources{CPU: allotment.CPU * int64(uniform(3).Draw(m.t, "used")) / 2}
	t, err := donor.Debit(quota.DebitCommand{Request: request}, func(string) placement.Resources { return used })
	m.count("debit", err)
	if allotment.CPU != quota.Unlimited {
		must.LessEq(m.t, donor.Allotment(customer).CPU, used.CPU)
	}
	if errors.Is(err, quota.ErrStale) {
		t, _ = donor.Outgoing(request.From)
	}
	if t.Sequence != 0 {
		m.transfers = append(m.transfers, t)
	}
}

// credit handles a transfer at the recipient and acknowledges it.
func (m *model) credit(t quota.Transfer) {
	recipient := m.ledgers[slices.Index(m.names, t.To)]
	m.count("credit", recipient.Credit(t))
	m.requests = append(m.requests, recipient.Request(t.From))
}

// count counts one result of an operation.
func (m *model) count(operation string, err error) { m.results[fmt.Sprint(operation, ": ", err)]++ }

// restore replaces a ledger by one restored from its snapshot, and asserts that both
// have the same snapshot.
func (m *model) restore(i int) {
	data, err := m.ledgers[i].MarshalBinary()
	must.NoError(m.t, err)
	copied := quota.NewLedger("")
	must.NoError(m.t, copied.UnmarshalBinary(data))
	again, err := copied.MarshalBinary()
	must.NoError(m.t, err)
	must.True(m.t, bytes.Equal(data, again))
	m.ledgers[i] = copied
}

// check asserts that no allotment is negative and that the allotments sum to at most
// the highest limit in force in any data centre. It checks nothing while the data
// centres are in different generations or a limit is Unlimited.
func (m *model) check() {
	var sum, limit [3]int64
	generation := m.configs[m.ledgers[0].Version()-1].Generation
	for _, l := range m.ledgers {
		if m.configs[l.Version()-1].Generation != generation {
			return
		}
		limits, allotments := fields(l.Limit(customer)), fields(l.Allotment(customer))
		for f := range sum {
			if limits[f] == quota.Unlimited {
				return
			}
			must.GreaterEq(m.t, 0, allotments[f])
			sum[f] += allotments[f]
			limit[f] = max(limit[f], limits[f])
		}
	}
	for f := range sum {
		must.LessEq(m.t, limit[f], sum[f], must.Sprint("the allotments exceed the limit"))
	}
}

// fields returns the fields of resources as an array.
func fields(r placement.Resources) [3]int64 {
	return [3]int64{r.CPU, r.Memory, r.Accelerators}
}

// deliverAll delivers the newest configuration and all transfers, and asserts
// that the allotments then sum to the limit.
func (m *model) deliverAll() {
	last := m.configs[len(m.configs)-1]
	for _, l := range m.ledgers {
		must.NoError(m.t, l.Configure(last))
	}
	var sum [3]int64
	for i, donor := range m.ledgers {
		for j, recipient := range m.ledgers {
			if t, found := donor.Outgoing(m.names[j]); found {
				m.count("final credit", recipient.Credit(t))
				donor.Acknowledge(recipient.Request(m.names[i]))
			}
		}
	}
	for i, l := range m.ledgers {
		for f, allotment := range fields(l.Allotment(customer)) {
			sum[f] += allotment
		}
		for _, name := range m.names {
			_, found := l.Outgoing(name)
			must.False(m.t, found, must.Sprint("unacknowledged transfer: ", m.names[i], " to ", name))
		}
	}
	for f, limit := range fields(last.Limits[customer]) {
		if limit != quota.Unlimited {
			must.Eq(m.t, limit, sum[f], must.Sprint("the allotments don't sum to the limit"))
		}
	}
}

// Guards against a customer that gets more than its limit, and against losing part of
// the limit permanently. Requests and transfers are lost, duplicated, delayed and
// reordered while limits change, and data centres skip versions and restart from
// snapshots.
func TestAllotmentsNeverExceedLimit(t *testing.T) {
	results := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, results)
		for range actionsPerRun {
			m.act()
			m.check()
		}
		m.deliverAll()
	})
	t.Log(results)
}
