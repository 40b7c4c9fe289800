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
	// names and ledgers are those of the data centres, by their indexes.
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
	w := &model{t: t, results: results}
	for i := range 2 + uniform(4).Draw(t, "centres") {
		w.names = append(w.names, fmt.Sprintf("hall-%d", i))
		w.ledgers = append(w.ledgers, quota.NewLedger(w.names[i]))
	}
	w.acceptConfig()
	for _, l := range w.ledgers {
		must.NoError(t, l.Configure(w.configs[0]))
	}
	return w
}

// acceptConfig adds a configuration with random limits, sometimes without the
// customer, and sometimes of a new generation.
func (w *model) acceptConfig() {
	limits := rapid.SampledFrom([]int64{quota.Unlimited, 0, 1, 3, 7, 1000, 1023, 4096, 50_000, 1 << 40})
	next := quota.Config{Version: uint64(len(w.configs) + 1), InitialOwners: w.names[:len(w.names)-1]}
	if n := len(w.configs); n > 0 {
		next.Generation = w.configs[n-1].Generation
		next.InitialOwners = w.configs[n-1].InitialOwners
	}
	if uniform(8).Draw(w.t, "generation") == 0 {
		next.Generation++
		next.InitialOwners = w.names[uniform(len(w.names)).Draw(w.t, "first initial owner"):]
	}
	next.Limits = map[string]placement.Resources{customer: {
		CPU: limits.Draw(w.t, "cpu"), Memory: limits.Draw(w.t, "memory"), Accelerators: limits.Draw(w.t, "accelerators"),
	}}
	if uniform(6).Draw(w.t, "gone") == 0 {
		next.Limits = nil
	}
	w.configs = append(w.configs, next)
}

// act performs one random action.
func (w *model) act() {
	i := uniform(len(w.ledgers)).Draw(w.t, "centre")
	switch action := uniform(100).Draw(w.t, "action"); {
	case action < 3:
		w.acceptConfig()
	case action < 15:
		// Versions are skipped, and older versions arrive after newer ones.
		c := w.configs[len(w.configs)-1-uniform(min(3, len(w.configs))).Draw(w.t, "back")]
		if err := w.ledgers[i].Configure(c); err != nil {
			must.ErrorIs(w.t, err, quota.ErrOldVersion)
		}
	case action < 20:
		w.restore(i)
	case action < 50:
		w.request(i, uniform(len(w.ledgers)).Draw(w.t, "to"))
	case action < 75:
		if m, ok := takeMessage(w, &w.requests); ok {
			w.debit(m)
		}
	default:
		if m, ok := takeMessage(w, &w.transfers); ok {
			w.credit(m)
		}
	}
}

// takeMessage returns a random message of the network. It may keep a copy of the
// message in the network. It returns false if the message is lost or there is none.
func takeMessage[M any](w *model, network *[]M) (M, bool) {
	var none M
	if len(*network) == 0 {
		return none, false
	}
	i := uniform(len(*network)).Draw(w.t, "message")
	m := (*network)[i]
	delivery := uniform(10).Draw(w.t, "delivery")
	if delivery >= 3 {
		*network = slices.Delete(*network, i, i+1)
	}
	return m, delivery < 9
}

// request sends a transfer request with random demands.
func (w *model) request(i, to int) {
	amounts := rapid.SampledFrom([]int64{0, 1, 100, 2000, 1 << 38})
	amount := placement.Resources{CPU: amounts.Draw(w.t, "cpu"), Memory: amounts.Draw(w.t, "memory"), Accelerators: amounts.Draw(w.t, "acc")}
	w.requests = append(w.requests, w.ledgers[i].Request(w.names[to], quota.Demand{Customer: customer, Amount: amount}))
}

// debit handles a transfer request at the donor.
func (w *model) debit(request quota.TransferRequest) {
	donor := w.ledgers[slices.Index(w.names, request.To)]
	allotment := donor.Allotment(customer)
	used := placement.Resources{CPU: allotment.CPU * int64(uniform(3).Draw(w.t, "used")) / 2}
	t, err := donor.Debit(quota.DebitCommand{Request: request}, func(string) placement.Resources { return used })
	w.count("debit", err)
	if allotment.CPU != quota.Unlimited {
		must.LessEq(w.t, donor.Allotment(customer).CPU, used.CPU)
	}
	if errors.Is(err, quota.ErrStale) {
		t, _ = donor.Outgoing(request.From)
	}
	if t.Sequence != 0 {
		w.transfers = append(w.transfers, t)
	}
}

// credit handles a transfer at the recipient and acknowledges it.
func (w *model) credit(t quota.Transfer) {
	recipient := w.ledgers[slices.Index(w.names, t.To)]
	w.count("credit", recipient.Credit(t))
	w.requests = append(w.requests, recipient.Request(t.From))
}

// count counts one result of an operation.
func (w *model) count(operation string, err error) { w.results[fmt.Sprint(operation, ": ", err)]++ }

// restore replaces a ledger by one restored from its snapshot, and asserts that both
// have the same snapshot.
func (w *model) restore(i int) {
	data, err := w.ledgers[i].MarshalBinary()
	must.NoError(w.t, err)
	copied := quota.NewLedger("")
	must.NoError(w.t, copied.UnmarshalBinary(data))
	again, err := copied.MarshalBinary()
	must.NoError(w.t, err)
	must.True(w.t, bytes.Equal(data, again))
	w.ledgers[i] = copied
}

// check asserts that no allotment is negative and that the allotments sum to at most
// the highest limit in force in any data centre. It checks nothing while the data
// centres are in different generations or a limit is Unlimited.
func (w *model) check() {
	var sum, limit [3]int64
	generation := w.configs[w.ledgers[0].Version()-1].Generation
	for _, l := range w.ledgers {
		if w.configs[l.Version()-1].Generation != generation {
			return
		}
		limits, allotments := fields(l.Limit(customer)), fields(l.Allotment(customer))
		for f := range sum {
			if limits[f] == quota.Unlimited {
				return
			}
			must.GreaterEq(w.t, 0, allotments[f])
			sum[f] += allotments[f]
			limit[f] = max(limit[f], limits[f])
		}
	}
	for f := range sum {
		must.LessEq(w.t, limit[f], sum[f], must.Sprint("the allotments exceed the limit"))
	}
}

// fields returns the fields of resources as an array.
func fields(r placement.Resources) [3]int64 {
	return [3]int64{r.CPU, r.Memory, r.Accelerators}
}

// deliverAll delivers the newest configuration and all transfers, and asserts
// that the allotments then sum to the limit.
func (w *model) deliverAll() {
	last := w.configs[len(w.configs)-1]
	for _, l := range w.ledgers {
		must.NoError(w.t, l.Configure(last))
	}
	var sum [3]int64
	for i, donor := range w.ledgers {
		for j, recipient := range w.ledgers {
			if t, open := donor.Outgoing(w.names[j]); open {
				w.count("final credit", recipient.Credit(t))
				donor.Acknowledge(recipient.Request(w.names[i]))
			}
		}
	}
	for i, l := range w.ledgers {
		for f, allotment := range fields(l.Allotment(customer)) {
			sum[f] += allotment
		}
		for _, name := range w.names {
			_, open := l.Outgoing(name)
			must.False(w.t, open, must.Sprint("unacknowledged transfer: ", w.names[i], " to ", name))
		}
	}
	for f, limit := range fields(last.Limits[customer]) {
		if limit != quota.Unlimited {
			must.Eq(w.t, limit, sum[f], must.Sprint("the allotments don't sum to the limit"))
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
		w := newModel(t, results)
		for range actionsPerRun {
			w.act()
			w.check()
		}
		w.deliverAll()
	})
	t.Log(results)
}
