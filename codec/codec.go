// Package codec encodes values as CBOR, and decodes whatever it has encoded.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxNestedLevels is the deepest nesting that the library can be told to accept, maxMessageLevels the deepest nesting of
// messages: each level takes stack, and no type of a message has half as many.
const (
	maxNestedLevels  = 65535
	maxMessageLevels = 32
)

// The decoders read text that isn't UTF-8 and arrays and maps of any length. By default the decoder of the library
// refuses what its encoder writes. A log entry or a snapshot that was written and can't be read again would end every
// member of the log, and again at each start.
var (
	decoder        = newDecoder(maxNestedLevels)
	messageDecoder = newDecoder(maxMessageLevels)
)

func newDecoder(levels int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, MaxNestedLevels: levels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes data, which this process or another member has stored, into v.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }

// UnmarshalMessage decodes data that another process has sent into v.
func UnmarshalMessage(data []byte, v any) error { return messageDecoder.Unmarshal(data, v) }
