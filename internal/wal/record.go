package wal

import (
	"bytes"
	"math"

	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// position identifies an entry by index and term.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// record is the payload of one frame of a segment. Absent fields change nothing.
type record struct {
	HardState *replica.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []replica.Entry    `cbor:"2,keyasint,omitempty"`
	// Snapshot is the position of a snapshot that is durable.
	Snapshot *position `cbor:"3,keyasint,omitempty"`
	// Base is the position of the last entry before the segment. Only the first record
	// of a segment has it.
	Base *position `cbor:"4,keyasint,omitempty"`
	// Synced is the length in bytes of this segment that was durable before the
	// record was written. It distinguishes a torn tail from damage, since a crash
	// can't lose bytes below that length.
	Synced int64 `cbor:"5,keyasint"`
	// PreviousTerm is the term of the entry before Entries[0].
	PreviousTerm uint64 `cbor:"6,keyasint,omitempty"`
}

// encoder encodes the payloads of frames and decoder decodes them. decoder has no practical
// bound on the length of arrays; the default of the library is 131,072 elements.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeFrame replaces the content of buf by v encoded as a frame for offset.
func encodeFrame(buf *bytes.Buffer, v any, salt uint64, offset int64) error {
	buf.Reset()
	buf.Write(make([]byte, frameSize))
	if err := encoder.MarshalToBuffer(v, buf); err != nil {
		return errors.Wrap(err, "encode a record")
	}
	if buf.Len()-frameSize > maxPayload {
		return errors.Newf("record of %d bytes exceeds the maximum", buf.Len())
	}
	sealFrame(buf.Bytes(), salt, offset)
	return nil
}

func decodeRecord(payload []byte) (*record, error) {
	r := new(record)
	if err := decoder.Unmarshal(payload, r); err != nil {
		return nil, errors.Wrap(err, "decode the record")
	}
	return r, nil
}
