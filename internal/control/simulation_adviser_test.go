package control

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// simAdviser is an adviser that permits each step on a fixed part of the workers. It
// serves the queries of each connection one after another. It also implements Caller for
// queries through other instances.
type simAdviser struct {
	params *simParams
	seed   uint64
	// policyOf returns the adviser policy of a step's queue.
	policyOf func(workflow.StepKey) *workflow.AdvicePolicy
	stepOf   func(workflow.TaskKey) *workflow.Step
	// faultsOver reports whether all faults are over.
	faultsOver func() bool

	mu        sync.Mutex
	random    *rand.Rand
	busyUntil map[string]time.Time
	// unreachableUntil is when the instance of a connection is reachable again.
	unreachableUntil map[string]time.Time
	queries          int
}

// seededFloat returns a number of at least 0 and below 1 that depends only on the seed
// and the words.
func seededFloat(seed uint64, words ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, words)
	return rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
}

// permits reports whether a step may run on a worker. The result for a step and a worker
// never changes.
func (a *simAdviser) permits(step workflow.StepKey, worker string) bool {
	spec := a.stepOf(workflow.TaskKey{StepKey: step})
	return spec != nil && spec.Image != refusedImage && seededFloat(a.seed, "permit", step, worker) < a.params.permittedShare
}

// Query serves a query from the leader's own machine.
func (a *simAdviser) Query(ctx context.Context, call AdviserQuery) (AdviserReply, error) {
	return a.serveQuery(ctx, ownAddress, call)
}

// ownAddress is the leader's own address.
const ownAddress = "own"

// Call serves a query through another instance.
func (a *simAdviser) Call(ctx context.Context, address, _ string, request, reply any) error {
	response, err := a.serveQuery(ctx, address, *request.(*AdviserQuery))
	*reply.(*AdviserReply) = response
	return err
}

func (a *simAdviser) serveQuery(ctx context.Context, address string, call AdviserQuery) (AdviserReply, error) {
	policy := a.policyOf(call.Step)
	if policy == nil {
		return AdviserReply{}, errNoResponse
	}
	a.mu.Lock()
	a.queries++
	lost := a.random.Float64() < a.params.faults.queryLost && !a.faultsOver() || time.Now().Before(a.unreachableUntil[address])
	end := time.Now()
	if a.busyUntil[address].After(end) {
		end = a.busyUntil[address]
	}
	end = end.Add(queryDuration(policy, len(call.Workers)))
	a.busyUntil[address] = end
	a.mu.Unlock()
	if lost {
		<-ctx.Done()
		return AdviserReply{}, errNoResponse
	}
	if !wait.For(ctx, time.Until(end)) {
		return AdviserReply{}, errNoResponse
	}
	reply := AdviserReply{TicketValidity: time.Duration(policy.TicketValidityMS) * time.Millisecond}
	for _, worker := range call.Workers {
		if a.permits(call.Step, worker) {
			reply.Granted = append(reply.Granted, Grant{Worker: worker, Ticket: ticketFor(call.Step, worker, time.Now().Add(reply.TicketValidity))})
		}
	}
	return reply, nil
}

// disconnect makes the instance of a connection unreachable for a time.
func (a *simAdviser) disconnect(address string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unreachableUntil[address] = until
}

func (a *simAdviser) isUnreachable(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.unreachableUntil[address])
}

// ticketFor returns a ticket that contains what it permits and when it expires.
func ticketFor(step workflow.StepKey, worker string, expires time.Time) string {
	return fmt.Sprint(step, " ", worker, " ", expires.UnixNano())
}

// ticketHolds reports whether a ticket permits a step on a worker now.
func ticketHolds(ticket string, step workflow.StepKey, worker string) bool {
	expiryText, ok := strings.CutPrefix(ticket, fmt.Sprint(step, " ", worker, " "))
	expires := int64(0)
	if _, err := fmt.Sscan(expiryText, &expires); err != nil {
		return false
	}
	return ok && time.Now().UnixNano() < expires
}
