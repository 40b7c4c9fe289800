package customer

import (
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// Guards against a configuration that takes the memory of every process that holds it: its customers had any number of
// keys.
func TestTooManyKeysAreRefused(t *testing.T) {
	customers := []Customer{{Name: "a"}, {Name: "b"}}
	for i := range MaxKeys {
		c := &customers[i%len(customers)]
		c.Keys = append(c.Keys, DigestOf(strconv.Itoa(i)))
	}
	must.NoError(t, Check(customers))
	customers[1].Keys = append(customers[1].Keys, DigestOf("more"))
	var invalid *InvalidError
	must.True(t, errors.As(Check(customers), &invalid))
	must.Eq(t, FieldKeys, invalid.Field)
}
