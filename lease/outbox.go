package lease

// NumberedCommand is a command of an Outbox, with its header.
type NumberedCommand[T any] struct {
	Header Header
	Body   T
}

// Outbox holds the owner's commands to one worker. It numbers them from 1 within
// (incarnation, term) and returns them for sending until the worker acknowledges
// them. A new leader and a new incarnation each start with an empty Outbox. It is
// not safe for concurrent use.
type Outbox[T any] struct {
	term, incarnation uint64
	lastNumber        uint64
	pending           []NumberedCommand[T]
}

// NewOutbox returns an empty Outbox for a leader's term and an incarnation of a
// worker.
func NewOutbox[T any](term, incarnation uint64) *Outbox[T] {
	return &Outbox[T]{term: term, incarnation: incarnation}
}

// Add appends a command and returns its header.
func (o *Outbox[T]) Add(body T) Header {
	o.lastNumber++
	header := Header{Incarnation: o.incarnation, Position: Position{Term: o.term, Number: o.lastNumber}}
	o.pending = append(o.pending, NumberedCommand[T]{Header: header, Body: body})
	return header
}

// Acknowledge drops the commands that the worker has processed. ack is the Position that
// the worker's renewal carried. An ack of another term is ignored.
func (o *Outbox[T]) Acknowledge(ack Position) {
	if ack.Term != o.term {
		return
	}
	for len(o.pending) > 0 && o.pending[0].Header.Position.Number <= ack.Number {
		o.pending = o.pending[1:]
	}
}

// Pending returns the unacknowledged commands to send, at most limit of them, oldest
// first, because the worker accepts commands only in the order of their numbers. The
// slice is valid until the next call of another method.
func (o *Outbox[T]) Pending(limit int) []NumberedCommand[T] {
	return o.pending[:min(limit, len(o.pending))]
}

// Position returns the position of the last command issued. The acknowledgement of a
// report carries this position to Guard.Acknowledge. For an acknowledgement, call
// Position only after the end of the attempt was committed and applied.
func (o *Outbox[T]) Position() Position {
	return Position{Term: o.term, Number: o.lastNumber}
}
