package peer

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// maxWholePayload is the size in bytes up to which a payload is sent in one call. A larger one, such as a large
	// snapshot, is sent in parts: no receiver accepts a call that takes most of its memory for requests.
	maxWholePayload = 4 << 20
	// partBytes is the size of a part, in bytes.
	partBytes = 512 << 10
	// partsSuffix is appended to the name of a group in calls that carry a part of a payload.
	partsSuffix = "/part"
	// transferIdleTime is how long a receiver waits for the next part before it accepts a transfer of another sender, and
	// transferExpiry how long it keeps the parts.
	transferIdleTime = 1500 * time.Millisecond
	transferExpiry   = 5 * time.Second
	// defaultMaxTransferBytes bounds a payload in parts unless Config.MaxTransferBytes does.
	defaultMaxTransferBytes = 1 << 30
)

// part is a part of a payload. A transfer sends the parts of one payload in their order, and each after the receiver has
// confirmed the one before it.
type part struct {
	// Transfer identifies the transfer among those of its sender.
	Transfer uint64 `cbor:"1,keyasint"`
	// Offset is where the part begins in the payload, which has Total bytes and the given XXH64 checksum.
	Offset   int    `cbor:"2,keyasint"`
	Total    int    `cbor:"3,keyasint"`
	Checksum uint64 `cbor:"4,keyasint"`
	Data     []byte `cbor:"5,keyasint"`
}

// partOf returns the name of the group and the encoded part if a call carries one.
func partOf(r *apiv1.ExchangeRequest) (group string, encoded []byte, ok bool) {
	if len(r.Groups) != 1 || len(r.Groups[0].Messages) != 1 {
		return "", nil, false
	}
	group, ok = strings.CutSuffix(r.Groups[0].Group, partsSuffix)
	return group, r.Groups[0].Messages[0], ok
}

// assembler joins the parts of payloads, of one payload at a time. It is safe for concurrent use.
type assembler struct {
	// maxBytes bounds a payload.
	maxBytes int64
	now      func() time.Time

	mu sync.Mutex
	// current is the transfer of which parts have arrived, nil for none.
	current *assembly
}

// assembly is a payload of which some parts have arrived.
type assembly struct {
	from, group string
	transfer    uint64
	data        []byte
	partAt      time.Time
	// expiry removes the parts if no further one arrives.
	expiry *time.Timer
}

func newAssembler(maxBytes int64) *assembler {
	if maxBytes == 0 {
		maxBytes = defaultMaxTransferBytes
	}
	return &assembler{maxBytes: maxBytes, now: time.Now}
}

// add adds a part that arrived from a sender. It returns the payload with its last part, nil before. A part that has
// arrived before is confirmed again. The error is of kind NotFound if the parts before are missing, so that the sender
// has to begin again, and of kind Overloaded while another transfer is in progress.
func (a *assembler) add(from, group string, encoded []byte) ([]byte, error) {
	var p part
	if err := codec.Unmarshal(encoded, &p); err != nil {
		return nil, fault.Field("part", "%v", err)
	}
	if p.Total <= 0 || p.Offset < 0 || len(p.Data) == 0 || len(p.Data) > p.Total-p.Offset {
		return nil, fault.Field("part", "%d bytes at %d of %d", len(p.Data), p.Offset, p.Total)
	}
	if int64(p.Total) > a.maxBytes {
		return nil, fault.Field("part", "of %d bytes, at most %d are accepted", p.Total, a.maxBytes)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.begin(from, group, &p); err != nil {
		return nil, err
	}
	return a.append(&p)
}

// begin makes the transfer of a part the current one. a.mu must be held.
func (a *assembler) begin(from, group string, p *part) error {
	current := a.current
	switch {
	case current != nil && current.from == from && current.group == group && current.transfer == p.Transfer:
		return nil
	case p.Offset > 0:
		return fault.New(fault.NotFound, "the parts before %d are missing", p.Offset)
	case current != nil && current.from != from && a.now().Sub(current.partAt) < transferIdleTime:
		return fault.New(fault.Overloaded, "a transfer of %s is in progress", current.from)
	}
	a.drop()
	next := &assembly{from: from, group: group, transfer: p.Transfer, data: make([]byte, 0, p.Total)}
	next.expiry = time.AfterFunc(transferExpiry, func() { a.expire(next) })
	a.current = next
	return nil
}

// drop removes the parts of the current transfer. a.mu must be held.
func (a *assembler) drop() {
	if a.current != nil {
		a.current.expiry.Stop()
		a.current = nil
	}
}

// expire removes the parts of a transfer that is still the current one.
func (a *assembler) expire(expired *assembly) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == expired {
		a.drop()
	}
}

// append appends a part to the payload of the current transfer, which it returns when it is complete. a.mu must be
// held.
func (a *assembler) append(p *part) ([]byte, error) {
	current := a.current
	current.partAt = a.now()
	current.expiry.Reset(transferExpiry)
	switch {
	case p.Total != cap(current.data) || p.Offset > len(current.data):
		a.drop()
		return nil, fault.New(fault.NotFound, "the parts before %d are missing", p.Offset)
	case p.Offset < len(current.data):
		return nil, nil
	}
	current.data = append(current.data, p.Data...)
	if len(current.data) < p.Total {
		return nil, nil
	}
	a.drop()
	if xxhash.Sum64(current.data) != p.Checksum {
		return nil, fault.New(fault.NotFound, "the checksum of the parts is wrong")
	}
	return current.data, nil
}
