package codec

import (
	"reflect"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

// aboveDefaultLimit is more elements than the library reads by default.
const aboveDefaultLimit = 131_073

// Guards against stored values that can be written and not read again.
func TestWhateverIsWrittenIsRead(t *testing.T) {
	numbered := map[string]int{}
	for i := range aboveDefaultLimit {
		numbered[strconv.Itoa(i)] = i
	}
	roundTrip(t, numbered)
	roundTrip(t, make([]int, aboveDefaultLimit))
	roundTrip(t, "\xff\xfe")
	roundTrip(t, map[string]string{"\xff": "\xfe"})
	nested := any("x")
	for range 40 {
		nested = []any{nested}
	}
	roundTrip(t, nested)
}

// roundTrip fails unless a value is the same after it was written and read.
func roundTrip[T any](t *testing.T, value T) {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	must.NoError(t, err)
	var decoded T
	must.NoError(t, Unmarshal(encoded, &decoded))
	must.True(t, reflect.DeepEqual(value, decoded))
}
