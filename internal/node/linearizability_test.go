package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	registerCount = 4
	// followerCallInterval is the mean number of a client's attempts per call of a member
	// that can't decide. At the other attempts the client skips such a member.
	followerCallInterval = 10
	// clientDelay is the pause of a client before it tries another member.
	clientDelay = 100 * time.Microsecond
	// accessesPerFault is the number of accesses during each fault.
	accessesPerFault = 40
	// startsPerSeed is more than the starts of members in one subtest, so that subtests
	// with different seeds use different incarnations and election seeds.
	startsPerSeed = 1000
	// checkTimeout bounds the check of one history.
	checkTimeout = time.Minute
)

// access is a read of a register, or a write that returns the value it replaced.
type access struct {
	key, value string
	write      bool
}

// result is what an access returned, or that the outcome of a write is unknown.
type result struct {
	old            string
	outcomeUnknown bool
}

// registerModel is the model of independent registers by key. A write returns the value
// that it replaced.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(access).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(access), output.(result)
		next := state
		if in.write {
			next = in.value
		}
		return out.outcomeUnknown || out.old == state.(string), next
	},
}

// history records the accesses of concurrent clients.
type history struct {
	mu                sync.Mutex
	start             time.Time
	operations        []porcupine.Operation
	recorded, unknown atomic.Int64
}

// access makes one access on a member and records it.
func (h *history) access(m *member, client int, in access) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := int64(time.Since(h.start))
	var out result
	var err error
	if in.write {
		var old any
		if old, err = m.Propose(ctx, encodeSet(in.key, in.value)); err == nil {
			out.old = old.(string)
		}
	} else if err = m.Barrier(ctx); err == nil {
		out.old = m.machine.get(in.key)
	}
	end := int64(time.Since(h.start))
	if err != nil {
		// A write that failed with any error but ErrOutcomeUnknown must never take
		// effect. It isn't recorded, so the model fails if it took effect after all.
		if !in.write || !errors.Is(err, ErrOutcomeUnknown) {
			return
		}
		out.outcomeUnknown, end = true, math.MaxInt64
		h.unknown.Add(1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recorded.Add(1)
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// client makes accesses until all clients together have recorded accessCount of them.
func (h *history) client(c *cluster, id int, random *rand.Rand, accessCount int64) {
	for n := 0; h.recorded.Load() < accessCount; n++ {
		in := access{key: fmt.Sprint(random.IntN(registerCount)), value: fmt.Sprintf("%d.%d", id, n), write: random.IntN(2) == 0}
		running := c.running()
		m := running[random.IntN(len(running))]
		if !m.Status().CanDecide && random.IntN(followerCallInterval) > 0 {
			time.Sleep(clientDelay)
			continue
		}
		h.access(m, id, in)
	}
}

// injectFault injects one fault, ends it and waits until all members have recovered. During
// the fault and after it, it gives the clients time to make extra accesses.
func (h *history) injectFault(c *cluster, random *rand.Rand, extra int64) {
	const maxWait = 500 * time.Millisecond
	running := c.running()
	affected := running[random.IntN(len(running))]
	id := affected.cfg.ID
	until := h.recorded.Load() + extra
	waitForClients := func() {
		for end := time.Now().Add(maxWait); h.recorded.Load() < until && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	switch random.IntN(3) {
	case 0:
		ctx, cancel := context.WithTimeout(context.Background(), maxWait)
		_ = c.leader().Transfer(ctx)
		cancel()
	case 1:
		c.net.isolate(id, true)
		waitForClients()
		c.net.isolate(id, false)
	case 2:
		c.stop(id)
		waitForClients()
		c.start(id)
	}
	eventually(c.t, "all members to recover", func() bool {
		for _, m := range c.running() {
			if m.Status().Role == replica.Recovering {
				return false
			}
		}
		return true
	})
	c.leader()
	waitForClients()
}

// Guards against a history that isn't linearizable. Several clients read and write
// while the leadership is transferred, members are partitioned, and members restart
// with and without a disk. Every access must take effect at one moment between its call
// and its response, and a refused write must never take effect.
func TestHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, "a", Config{SnapshotEntries: 50, KeepEntries: 20})
			c.starts = seed * startsPerSeed
			h := &history{start: time.Now()}
			const clients, accessCount = 5, 1500
			var group sync.WaitGroup
			for id := range clients {
				group.Go(func() { h.client(c, id, rand.New(rand.NewPCG(seed, uint64(id))), accessCount) })
			}
			random := rand.New(rand.NewPCG(seed, clients))
			for h.recorded.Load() < accessCount {
				h.injectFault(c, random, accessesPerFault)
			}
			group.Wait()
			t.Logf("%d accesses, %d writes with an unknown outcome", len(h.operations), h.unknown.Load())
			got := porcupine.CheckOperationsTimeout(registerModel, h.operations, checkTimeout)
			must.Eq(t, porcupine.Ok, got)
		})
	}
}
