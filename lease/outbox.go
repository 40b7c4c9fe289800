package lease

// Numbered is one command of an Outbox with its header.
type NumberedCommand[T any] struct {
	Header Header
	Body   T
}

// Outbox is the owner's side of the commands to one worker: it numbers them
// from 1 within (incarnation, term) and gives them out until the worker
// acknowledges them. A new leader and a new incarnation each start an empty
// one. It is not safe for concurrent use.
type Outbox[T any] struct {
	term, incarnation uint64
	last              uint64
	pending           []NumberedCommand[T]
}

// NewOutbox returns an empty outbox for one leader's term and one incarnation
// of a worker.
func NewOutbox[T any](term, incarnation uint64) *Outbox[T] {
	return &Outbox[T]{term: term, incarnation: incarnation}
}

// Add issues a command and returns its header.
func (o *Outbox[T]) Add(body T) Header {
	o.last++
	header := Header{Incarnation: o.incarnation, Position: Position{Term: o.term, Number: o.last}}
	o.pending = append(o.pending, NumberedCommand[T]{Header: header, Body: body})
	return header
}

// Acknowledge drops the commands that the worker has processed. ack is the
// Position that the worker's renewal carried; one of another term says nothing
// of this outbox.
func (o *Outbox[T]) Acknowledge(ack Position) {
	if ack.Term != o.term {
		return
	}
	for len(o.pending) > 0 && o.pending[0].Header.Position.Number <= ack.Number {
		o.pending = o.pending[1:]
	}
}

// Pending returns the commands to send, in order, at most max of them. They
// always begin with the oldest that is not acknowledged, since the worker
// takes no command before its predecessor. The slice is valid until the next
// call of another method.
func (o *Outbox[T]) Pending(max int) []NumberedCommand[T] {
	return o.pending[:min(max, len(o.pending))]
}

// Position is the highest command issued. The acknowledgement of a report
// carries it to Guard.Forget; it must be read after the end of the attempt was
// committed and applied.
func (o *Outbox[T]) Position() Position {
	return Position{Term: o.term, Number: o.last}
}
