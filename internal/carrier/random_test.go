package carrier

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Carriers stop responding, stand still, restart and refuse connections while orders are forwarded. Every
// order must end within its timeout of 600 ms, a successful one must have reached its worker,
// and no order may reach a worker twice. If an outcome is matched to another order, the
// leader treats an executed start as lost, or an unsent one as executed.
func TestOrdersUnderFaultsEndInTimeAndAreSentOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		carriers := rapid.IntRange(1, 4).Draw(r, "carriers")
		synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed, carriers) })
	})
}

// runWithFaults sends orders while faults are injected into carriers.
func runWithFaults(t *testing.T, seed uint64, carriers int) {
	const orders = 120
	// ordersPerFault is the number of orders per injected fault.
	const ordersPerFault = 10
	// maxPauseMS bounds the random pause after an order.
	const maxPauseMS = 20
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, carriers)
	c.lead(1)
	var group sync.WaitGroup
	var mu sync.Mutex
	succeeded := map[string]bool{}
	for i := range orders {
		if i%ordersPerFault == 0 {
			c.injectFault(random, carriers)
		}
		worker := fmt.Sprint("w", i)
		group.Go(func() {
			started := time.Now()
			err := c.start(worker)
			must.LessEq(t, startTimeout, time.Since(started))
			mu.Lock()
			defer mu.Unlock()
			succeeded[worker] = err == nil
		})
		time.Sleep(time.Duration(random.IntN(maxPauseMS)) * time.Millisecond)
	}
	group.Wait()
	c.endTerm()
	c.endStalls()
	time.Sleep(settleTime)
	sent := c.startsByWorker()
	for worker, ok := range succeeded {
		if ok {
			must.Positive(t, sent[worker], must.Sprint(worker))
		}
		must.LessEq(t, 1, sent[worker], must.Sprint(worker))
	}
}

// injectFault changes the behaviour of one random carrier.
func (c *cluster) injectFault(random *rand.Rand, carriers int) {
	name := fmt.Sprintf("carrier-%d", random.IntN(carriers))
	switch random.IntN(5) {
	case 0:
		c.setFault(c.unresponsive, name, !c.hasFault(c.unresponsive, name))
	case 1:
		c.setFault(c.refusing, name, !c.hasFault(c.refusing, name))
	case 2:
		c.setFault(c.droppingReplies, name, !c.hasFault(c.droppingReplies, name))
	case 3:
		c.restart(name)
	case 4:
		c.setFault(c.stalled, name, !c.hasFault(c.stalled, name))
	}
}
