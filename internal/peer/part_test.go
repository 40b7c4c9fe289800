package peer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// largePayloadBytes is the size of the payloads of the tests. It isn't a multiple of the size of a part.
	largePayloadBytes = 9*partBytes + 12345
	// requestLimit is the largest request that the servers of the tests accept.
	requestLimit = 2 * partBytes
)

// largePayload returns a payload that is sent in parts.
func largePayload(seed uint64) []byte {
	payload := make([]byte, largePayloadBytes)
	source := rand.NewChaCha8([32]byte{byte(seed)})
	_, _ = source.Read(payload)
	return payload
}

// limitRequests makes the server of an instance refuse larger requests than requestLimit, as a server does whose
// budget they exceed, and each request for which lose, if not nil, returns true.
func (i *instance) limitRequests(lose func(request int) bool) {
	var requests atomic.Int64
	handler := i.server.Handler
	i.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := int(requests.Add(1))
		if r.ContentLength > requestLimit || lose != nil && lose(request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Guards against a snapshot that a member never receives, because it is larger than one request may be.
func TestPayloadLargerThanRequestMayBeArrives(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	b.limitRequests(nil)
	a.SetPeer("b", b.address())
	payload := largePayload(1)
	a.Send("log", "b", payload)
	for n := range 100 {
		a.Send("log", "b", fmt.Append(nil, n))
	}
	eventually(t, "all payloads", func() bool { return len(b.delivered()) == 101 })
	must.SliceContains(t, b.delivered(), "a:"+string(payload))
}

// Guards against a transfer that begins again, or ends, with each lost call.
func TestTransferOutlastsLostCalls(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	b.limitRequests(func(request int) bool { return request%3 == 0 })
	a.SetPeer("b", b.address())
	payload := largePayload(2)
	a.Send("log", "b", payload)
	eventually(t, "the payload", func() bool { return len(b.delivered()) == 1 })
	must.Eq(t, "a:"+string(payload), b.delivered()[0])
}

// Guards against a receiver that restarts in the middle of a transfer and gets only the later parts.
func TestTransferBeginsAgainAfterRestartOfReceiver(t *testing.T) {
	a, b := newInstance(t, "a", Config{}), newInstance(t, "b", Config{})
	b.limitRequests(func(request int) bool {
		if request == 5 {
			b.mux.parts.mu.Lock()
			b.mux.parts.drop()
			b.mux.parts.mu.Unlock()
		}
		return false
	})
	a.SetPeer("b", b.address())
	payload := largePayload(3)
	a.Send("log", "b", payload)
	eventually(t, "the payload", func() bool { return len(b.delivered()) == 1 })
	must.Eq(t, "a:"+string(payload), b.delivered()[0])
}

// partAt returns an encoded part of a payload.
func partAt(t *testing.T, transfer uint64, payload []byte, offset, n int) []byte {
	encoded, err := codec.Marshal(&part{Transfer: transfer, Offset: offset, Total: len(payload), Checksum: xxhash.Sum64(payload), Data: payload[offset : offset+n]})
	must.NoError(t, err)
	return encoded
}

// Guards against payloads that are joined from parts of several transfers, from parts that are missing, or twice from one.
func TestAssemblerJoinsPartsOfOneTransferInOrder(t *testing.T) {
	a := newAssembler(100)
	payload := []byte("abcdef")
	add := func(from string, transfer uint64, offset, n int) (string, error) {
		joined, err := a.add(from, "log", partAt(t, transfer, payload, offset, n))
		return string(joined), err
	}
	refused := func(kind fault.Kind, from string, transfer uint64, offset, n int) {
		t.Helper()
		_, err := add(from, transfer, offset, n)
		must.Eq(t, kind, fault.KindOf(err))
	}
	refused(fault.NotFound, "x", 1, 2, 2)
	for range 2 {
		joined, err := add("x", 1, 0, 2)
		must.NoError(t, err)
		must.Eq(t, "", joined)
	}
	refused(fault.Overloaded, "y", 1, 0, 2)
	refused(fault.NotFound, "x", 2, 2, 2)
	_, err := add("x", 1, 2, 3)
	must.NoError(t, err)
	joined, err := add("x", 1, 5, 1)
	must.NoError(t, err)
	must.Eq(t, string(payload), joined)
	refused(fault.NotFound, "x", 1, 5, 1)

	_, err = add("x", 3, 0, 2)
	must.NoError(t, err)
	refused(fault.NotFound, "x", 3, 4, 2)
	refused(fault.NotFound, "x", 3, 2, 2)
}

// Guards against a member that waits for the rest of a transfer whose sender has ended.
func TestAnotherSenderReplacesIdleTransfer(t *testing.T) {
	a := newAssembler(100)
	now := time.Now()
	a.now = func() time.Time { return now }
	payload := []byte("abcdef")
	_, err := a.add("x", "log", partAt(t, 1, payload, 0, 2))
	must.NoError(t, err)
	now = now.Add(transferIdleTime)
	_, err = a.add("y", "log", partAt(t, 2, payload, 0, 2))
	must.NoError(t, err)
	_, err = a.add("x", "log", partAt(t, 1, payload, 2, 2))
	must.Eq(t, fault.NotFound, fault.KindOf(err))
}

// Guards against parts of another process that take the memory of a member, end it, or are taken for a payload.
func TestInvalidPartsAreRefused(t *testing.T) {
	payload := []byte("abcdef")
	damaged := bytes.Clone(payload)
	damaged[3] ^= 1
	for name, p := range map[string]part{
		"nothing":         {},
		"negative offset": {Offset: -1, Total: 6, Data: payload[:1]},
		"no data":         {Total: 6},
		"beyond its end":  {Total: 2, Data: payload},
		"too large":       {Total: 101, Data: payload},
		"wrong checksum":  {Total: 6, Checksum: xxhash.Sum64(payload), Data: damaged},
	} {
		encoded, err := codec.Marshal(&p)
		must.NoError(t, err)
		joined, err := newAssembler(100).add("x", "log", encoded)
		must.Error(t, err, must.Sprint(name))
		must.Nil(t, joined)
	}
	_, err := newAssembler(100).add("x", "log", []byte{0xff})
	must.Error(t, err)
}
