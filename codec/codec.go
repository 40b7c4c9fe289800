// Package codec decodes what the log and snapshots hold.
package codec

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxNestedLevels is the deepest nesting that the library allows.
const maxNestedLevels = 65535

// decoder accepts whatever cbor.Marshal writes. The defaults of the library refuse text that isn't UTF-8, long
// arrays and maps, and deep nesting.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Unmarshal decodes what cbor.Marshal encoded, as cbor.Unmarshal does, but accepts all of it. A command or a
// snapshot that was written and can't be read again would end every member, and again at each start.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }
