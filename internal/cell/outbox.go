package cell

import (
	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/lease"
)

// maxCommands bounds the commands of one response to a renewal.
const maxCommands = 256

// outbox holds the commands that one worker incarnation hasn't acknowledged. A response
// is lost when its entry instance fails, so a command is sent in the response to each
// renewal until the worker acknowledges that it has processed the command.
type outbox struct {
	*lease.Outbox[*apiv1.Command]
	incarnation uint64
	// changed is closed and replaced when a command is added or the leader term ends.
	changed chan struct{}
}

func newOutbox(term, incarnation uint64) *outbox {
	return &outbox{
		Outbox:      lease.NewOutbox[*apiv1.Command](term, incarnation),
		incarnation: incarnation,
		changed:     make(chan struct{}),
	}
}

// add numbers a command, appends it and wakes the held renewal.
func (b *outbox) add(command *apiv1.Command) {
	header := b.Add(command)
	command.Number = header.Position.Number
	command.Term = header.Position.Term
	command.Incarnation = header.Incarnation
	close(b.changed)
	b.changed = make(chan struct{})
}

// commands returns the commands for the next response.
func (b *outbox) commands() []*apiv1.Command {
	pending := b.Pending(maxCommands)
	commands := make([]*apiv1.Command, 0, len(pending))
	for _, numbered := range pending {
		commands = append(commands, numbered.Body)
	}
	return commands
}

// enqueueCommand adds a command for a worker incarnation. t.mu must be held.
func (t *leaderTerm) enqueueCommand(worker string, incarnation uint64, command *apiv1.Command) {
	workerOutbox := t.outboxes[worker]
	if workerOutbox == nil || workerOutbox.incarnation != incarnation {
		// This incarnation hasn't renewed in this leader term. Its first renewal fills
		// the outbox from the committed state.
		return
	}
	workerOutbox.add(command)
}

// openOutbox returns the outbox of an incarnation. For an incarnation that is new to this
// leader term it fills one from the committed state: every attempt that occupies the
// worker gets a command again, since the predecessor may have committed a start and died
// before sending it. The worker refuses duplicates. t.mu must be held.
func (t *leaderTerm) openOutbox(s *state.State, worker string, incarnation uint64) *outbox {
	workerOutbox := t.outboxes[worker]
	if workerOutbox != nil && workerOutbox.incarnation == incarnation {
		return workerOutbox
	}
	workerOutbox = newOutbox(t.term, incarnation)
	t.outboxes[worker] = workerOutbox
	for _, ref := range s.AttemptsOnWorker(worker) {
		task := s.Jobs[ref.Job].Tasks[ref.Task]
		if task.Incarnation != incarnation {
			continue
		}
		if task.Stopping {
			workerOutbox.add(stopCommand(ref))
			continue
		}
		workerOutbox.add(startCommand(s, ref))
	}
	return workerOutbox
}

// wakeHeldRenewals ends every held renewal of the leader term, so that workers search for
// the next leader immediately.
func (t *leaderTerm) wakeHeldRenewals() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, workerOutbox := range t.outboxes {
		close(workerOutbox.changed)
		workerOutbox.changed = make(chan struct{})
	}
}

func stopCommand(ref state.AttemptRef) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Stop{Stop: &apiv1.StopTask{Attempt: wire.RefToAPI(ref)}}}
}

// startCommand builds the start command of a committed attempt. It returns nil when the
// attempt has ended.
func startCommand(s *state.State, ref state.AttemptRef) *apiv1.Command {
	j := s.Jobs[ref.Job]
	if j == nil || j.Tasks[ref.Task].Attempt != ref.Attempt || j.Tasks[ref.Task].State != state.TaskRunning {
		return nil
	}
	return &apiv1.Command{Body: &apiv1.Command_Start{Start: &apiv1.StartTask{
		Attempt:           wire.RefToAPI(ref),
		Need:              wire.ResourcesToAPI(j.ReservedResources(int(ref.Task))),
		Payload:           j.Spec.Payload,
		DeclaredRuntimeMs: j.Spec.Runtime.Milliseconds(),
		DeadlineUnixMs:    j.Spec.Deadline,
		Customer:          j.Customer,
		Name:              j.Spec.Name,
	}}}
}
