// Package codec encodes values as CBOR, and decodes whatever it has encoded.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// decoder reads text that isn't UTF-8 and arrays and maps of any length. By default the decoder of the library refuses
// what its encoder writes. A log entry or a snapshot that was written and can't be read again would end every member of
// the log, and again at each start.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }
