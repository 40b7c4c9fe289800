package jsonbody

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

type body struct {
	Version int               `json:"version"`
	Rows    []map[string]bool `json:"rows"`
}

func decode(r io.Reader) (body, error) {
	const limit = 100
	var v body
	_, err := Decode(r, limit, &v)
	return v, err
}

// Guards against a body of which another value is obeyed than the sender meant: the decoder takes names in
// any case, so names that differ only in case are one name.
func TestNameTwiceInOtherCaseIsInvalid(t *testing.T) {
	for _, text := range []string{
		`{"version":3,"version":4}`, `{"version":3,"Version":4}`, `{"VERSION":3,"version":4}`, `{"verſion":3,"version":4}`, `{"rows":[{"a":true,"A":false}]}`,
	} {
		_, err := decode(strings.NewReader(text))
		must.Error(t, err, must.Sprint(text))
		must.Eq(t, fault.Invalid, fault.KindOf(err))
	}
	v, err := decode(strings.NewReader(`{"version":3,"rows":[{"a":true},{"a":true}],"unknown":1}`))
	must.NoError(t, err)
	must.Eq(t, 3, v.Version)
}

// Guards against a valid body that is called invalid for good because the connection broke before it was
// received whole.
func TestBodyThatIsNotReceivedWholeIsIncomplete(t *testing.T) {
	_, err := decode(io.MultiReader(strings.NewReader(`{"version":3`), brokenConnection{}))
	must.True(t, errors.Is(err, ErrIncomplete))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	_, err = decode(strings.NewReader(`{"version":3`))
	must.Eq(t, fault.Invalid, fault.KindOf(err))
}

type brokenConnection struct{}

func (brokenConnection) Read([]byte) (int, error) { return 0, errors.New("connection reset") }
