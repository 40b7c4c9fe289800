package standin

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Query parameters by which callers tell minions what to do.
const (
	// paramNonce is echoed in the answer.
	paramNonce = "nonce"
	// paramSize is the size of the filler in the answer, in bytes.
	paramSize = "size"
	// paramWork is the time that the request takes, in milliseconds.
	paramWork = "work_ms"
	// paramNonIdempotent marks a non-idempotent request.
	paramNonIdempotent = "once"
)

// maxFillerSize bounds the filler that a request may ask for.
const maxFillerSize = 16 << 20

// newResponseBody makes the answer to a request: a line with the nonce, the checksum
// of the request's body and the length and checksum of what follows, then that
// many bytes of filler drawn from the nonce.
func newResponseBody(nonce string, body []byte, size int) []byte {
	filler := newFiller(nonce, min(max(size, 0), maxFillerSize))
	head := fmt.Sprintf("%s %016x %d %016x\n", strconv.Quote(nonce), xxhash.Sum64(body), len(filler), xxhash.Sum64(filler))
	return append([]byte(head), filler...)
}

// checkResponseBody holds an answer against the request that it is for.
func checkResponseBody(got []byte, nonce string, body []byte, size int) error {
	want := newResponseBody(nonce, body, size)
	if bytes.Equal(got, want) {
		return nil
	}
	head, _, _ := bytes.Cut(got, []byte("\n"))
	return errors.Newf("answer of %d bytes begins %.80q, expected %d bytes for %q", len(got), head, len(want), nonce)
}

func newFiller(nonce string, size int) []byte {
	filler := make([]byte, 0, size+xxhashLength)
	for block := uint64(0); len(filler) < size; block++ {
		h := xxhash.NewWithSeed(block)
		_, _ = h.WriteString(nonce)
		filler = h.Sum(filler)
	}
	return filler[:size]
}

const xxhashLength = 8
