package standin

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Query parameters that callers send to minions.
const (
	// paramNonce identifies the request; the response repeats it.
	paramNonce = "nonce"
	// paramSize is the size of the filler in the response, in bytes.
	paramSize = "size"
	// paramWork is the service time of the request, in milliseconds.
	paramWork = "work_ms"
	// paramNonIdempotent marks a non-idempotent request.
	paramNonIdempotent = "once"
)

// maxFillerBytes bounds the filler in a response, in bytes (16 MiB).
const maxFillerBytes = 16 << 20

// newResponseBody returns the body of the response to a request with the given nonce
// and body: a line with the nonce, the checksum of the request's body and the length
// and checksum of the filler, followed by size bytes of filler derived from the nonce.
// A size outside 0 to maxFillerBytes is limited to that range.
func newResponseBody(nonce string, body []byte, size int) []byte {
	filler := newFiller(nonce, min(max(size, 0), maxFillerBytes))
	head := fmt.Sprintf("%s %016x %d %016x\n", strconv.Quote(nonce), xxhash.Sum64(body), len(filler), xxhash.Sum64(filler))
	return append([]byte(head), filler...)
}

// checkResponseBody compares a response body with the one that newResponseBody returns
// for the request. It returns an error when they differ.
func checkResponseBody(got []byte, nonce string, body []byte, size int) error {
	want := newResponseBody(nonce, body, size)
	if bytes.Equal(got, want) {
		return nil
	}
	head, _, _ := bytes.Cut(got, []byte("\n"))
	return errors.Newf("response of %d bytes begins with %.80q, expected %d bytes for request %q", len(got), head, len(want), nonce)
}

// newFiller returns size pseudorandom bytes that depend only on the nonce.
func newFiller(nonce string, size int) []byte {
	filler := make([]byte, 0, size+xxhashBytes)
	for block := uint64(0); len(filler) < size; block++ {
		h := xxhash.NewWithSeed(block)
		_, _ = h.WriteString(nonce)
		filler = h.Sum(filler)
	}
	return filler[:size]
}

// xxhashBytes is the length of one xxhash checksum, in bytes.
const xxhashBytes = 8
