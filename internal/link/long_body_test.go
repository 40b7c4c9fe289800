package link

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

type longBody struct {
	Data []byte `cbor:"1,keyasint"`
}

// newEchoServer serves a method that returns its request, and returns the address.
func newEchoServer(t *testing.T) string {
	mux := NewMux()
	Handle(mux, "echo", func(_ context.Context, r *longBody) (longBody, error) { return *r, nil })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a configuration of the greatest length that the leader accepts and the other instances refuse or can't
// read: a call carries the document and its parsed form.
func TestLongestConfigurationFitsCall(t *testing.T) {
	request := longBody{Data: bytes.Repeat([]byte("c"), 18<<20)}
	var reply longBody
	must.NoError(t, NewClient(maxConnections).Call(t.Context(), newEchoServer(t), "echo", &request, &reply))
	must.Eq(t, len(request.Data), len(reply.Data))
}

// Guards against a call that is refused as invalid, and not repeated at another instance, because its body was cut short.
func TestBodyBeyondBoundIsNotCutShort(t *testing.T) {
	request := longBody{Data: make([]byte, maxBodyBytes+1)}
	err := NewClient(maxConnections).Call(t.Context(), newEchoServer(t), "echo", &request, &longBody{})
	must.Error(t, err)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
}
