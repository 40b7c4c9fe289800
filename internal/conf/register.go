package conf

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/fault"
)

// formatVersion is the version of the encoding of commands and snapshots. Restore
// refuses snapshots with a newer one.
const formatVersion = 1

// Bounds of what the register stores.
const (
	// maxHistory is the number of versions kept, including the current one.
	maxHistory = 64
	// maxHistoryBytes bounds the total size of the documents of the kept versions. The
	// current version is always kept.
	maxHistoryBytes = 1 << 20
	// maxResponses is the number of request IDs whose first response is kept.
	maxResponses      = 1024
	maxAuthorBytes    = 256
	maxRequestIDBytes = 128
)

// Config is one accepted version of the shared configuration.
type Config struct {
	// Version is 0 before the first write and grows by one with each write
	// that is accepted.
	Version uint64
	// Text is the document as it was written.
	Text string
	// Document is Text as read by this program. If this program can't read Text,
	// because a newer program accepted it, Document is the last readable document.
	// Document is never nil in the configuration in force, and nil in older versions.
	Document *Document
	// Unreadable is why this program can't read Text, or empty.
	Unreadable string
	// Author names who wrote the version.
	Author string
	// Accepted is the wall time of the instance that proposed the write.
	Accepted time.Time
}

// Write is the command that replaces the document if the current version is Expected
// (compare-and-set).
type Write struct {
	RequestID string
	// Expected is the version that the writer has read.
	Expected uint64
	Document string
	Author   string
	Accepted time.Time
}

// wireWrite is the encoding of a Write.
type wireWrite struct {
	Format         uint32 `cbor:"1,keyasint"`
	RequestID      string `cbor:"2,keyasint,omitempty"`
	Expected       uint64 `cbor:"3,keyasint,omitempty"`
	Document       string `cbor:"4,keyasint,omitempty"`
	Author         string `cbor:"5,keyasint,omitempty"`
	AcceptedUnixMs int64  `cbor:"6,keyasint,omitempty"`
}

// Encode checks the write and returns its command, or a fault of kind Invalid. Documents
// that can't be parsed are refused here, before the command enters the log, and not in
// Apply: two programs that disagree on what a valid document is must still hold the same
// state.
func (w Write) Encode() ([]byte, error) {
	if w.RequestID == "" {
		return nil, fault.Field("request_id", "is missing")
	}
	if len(w.RequestID) > maxRequestIDBytes {
		return nil, fault.Field("request_id", "has %d bytes, at most %d are allowed", len(w.RequestID), maxRequestIDBytes)
	}
	if len(w.Author) > maxAuthorBytes {
		return nil, fault.Field("author", "has %d bytes, at most %d are allowed", len(w.Author), maxAuthorBytes)
	}
	if _, err := Parse(w.Document); err != nil {
		return nil, err
	}
	return cbor.Marshal(wireWrite{
		Format:         formatVersion,
		RequestID:      w.RequestID,
		Expected:       w.Expected,
		Document:       w.Document,
		Author:         w.Author,
		AcceptedUnixMs: w.Accepted.UnixMilli(),
	})
}

// Outcome is the result of Apply: the accepted version, or the error of a refused write.
type Outcome struct {
	Config Config
	// Err is a fault of kind Conflict or Invalid, or nil.
	Err error
}

// recordedResponse is the first response to a request ID, kept for repeats of the request.
type recordedResponse struct {
	RequestID string `cbor:"1,keyasint"`
	// Digest is the digest of the write (see wireWrite.digest).
	Digest []byte `cbor:"2,keyasint"`
	// Version is the version that the write created, 0 for a refusal.
	Version uint64     `cbor:"3,keyasint,omitempty"`
	Kind    fault.Kind `cbor:"4,keyasint,omitempty"`
	Message string     `cbor:"5,keyasint,omitempty"`
}

// Register is the deterministic state machine of the configuration log. One goroutine
// must make all calls of Apply and Restore; the other methods are safe for concurrent
// use.
type Register struct {
	holder Holder

	mu        sync.RWMutex
	history   []Config           // oldest first, the current version last
	responses []recordedResponse // oldest first
	// responseNumbers has the number of the response to each request ID. Responses are
	// numbered from 0 in the order of their recording and keep their numbers when older
	// ones are dropped.
	responseNumbers  map[string]int
	droppedResponses int // number of responses dropped so far
}

// NewRegister returns a register at version 0 with an empty document.
func NewRegister() *Register {
	return &Register{responseNumbers: make(map[string]int)}
}

// Current returns the configuration in force. It never waits for a call of Apply to end.
func (r *Register) Current() Config { return r.holder.Current() }

// Changed returns a channel that is closed at the next change of version.
func (r *Register) Changed() <-chan struct{} { return r.holder.Changed() }

// History returns up to n versions, the newest first.
func (r *Register) History(n int) []Config {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n = max(0, min(n, len(r.history)))
	versions := make([]Config, 0, n)
	for i := range n {
		versions = append(versions, r.history[len(r.history)-1-i])
	}
	return versions
}

// Apply applies one command of the log and returns an Outcome. An empty command, which
// a new leader writes, changes nothing and returns nil.
func (r *Register) Apply(_ uint64, command []byte) any {
	if len(command) == 0 {
		return nil
	}
	var w wireWrite
	if err := cbor.Unmarshal(command, &w); err != nil {
		return Outcome{Err: fault.New(fault.Invalid, "malformed configuration command")}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := w.digest()
	if i, ok := r.responseNumbers[w.RequestID]; ok {
		return r.duplicateOutcome(r.responses[i-r.droppedResponses], digest)
	}
	return r.applyWrite(w, digest)
}

// digest returns a hash of the write by which a repeat of a request is distinguished from
// another request with the same ID. It leaves out the time, since a repeat carries a later
// time.
func (w *wireWrite) digest() []byte {
	hash := sha256.New()
	var expected [8]byte
	binary.BigEndian.PutUint64(expected[:], w.Expected)
	hash.Write(expected[:])
	author := sha256.Sum256([]byte(w.Author))
	hash.Write(author[:])
	hash.Write([]byte(w.Document))
	return hash.Sum(nil)
}

// duplicateOutcome returns the outcome of a write whose request ID was used before: that of
// firstResponse, the first response to the request ID, or Conflict if the content differs.
func (r *Register) duplicateOutcome(firstResponse recordedResponse, digest []byte) Outcome {
	if string(firstResponse.Digest) != string(digest) {
		return Outcome{Err: fault.New(fault.Conflict, "request id %q was used before with other content", firstResponse.RequestID)}
	}
	if firstResponse.Version == 0 {
		return Outcome{Err: fault.New(firstResponse.Kind, "%s", firstResponse.Message)}
	}
	for _, config := range r.history {
		if config.Version == firstResponse.Version {
			return Outcome{Config: config}
		}
	}
	// The history no longer holds this version. The caller needs only the number.
	return Outcome{Config: Config{Version: firstResponse.Version}}
}

// applyWrite puts the document of w in force or refuses w. It records the response, except
// to a write that is too large. r.mu must be held.
func (r *Register) applyWrite(w wireWrite, digest []byte) Outcome {
	current := r.holder.Current()
	response := recordedResponse{RequestID: w.RequestID, Digest: digest}
	switch {
	case len(w.Document) > MaxDocumentBytes || len(w.RequestID) > maxRequestIDBytes || len(w.Author) > maxAuthorBytes:
		return Outcome{Err: fault.New(fault.Invalid, "the configuration command is too large")}
	case w.Expected != current.Version:
		err := fault.New(fault.Conflict, "expected version %d, the current version is %d", w.Expected, current.Version)
		response.Kind = fault.Conflict
		response.Message = fault.From(err).Message
		r.recordResponse(response)
		return Outcome{Err: err}
	}
	next := withParsedDocument(current, Config{
		Version:  current.Version + 1,
		Text:     w.Document,
		Author:   w.Author,
		Accepted: time.UnixMilli(w.AcceptedUnixMs),
	})
	r.appendHistory(next.withoutDocument())
	r.holder.Set(next)
	response.Version = next.Version
	r.recordResponse(response)
	return Outcome{Config: next}
}

// withParsedDocument returns next with Document set. If next.Text can't be read, Document
// is before.Document and Unreadable is the reason.
func withParsedDocument(before, next Config) Config {
	document, err := Parse(next.Text)
	if err != nil {
		next.Document = before.Document
		next.Unreadable = fault.From(err).Message
		return next
	}
	next.Document = document
	return next
}

// appendHistory adds the newest version and drops the oldest beyond maxHistory and
// maxHistoryBytes. r.mu must be held.
func (r *Register) appendHistory(config Config) {
	r.history = append(r.history, config)
	total := 0
	oldestKept := len(r.history) - 1
	for i := len(r.history) - 1; i >= 0; i-- {
		total += len(r.history[i].Text)
		if len(r.history)-i > maxHistory || (total > maxHistoryBytes && i < len(r.history)-1) {
			break
		}
		oldestKept = i
	}
	r.history = append([]Config(nil), r.history[oldestKept:]...)
}

// recordResponse keeps the first response to a request ID and drops the oldest beyond
// maxResponses. r.mu must be held.
func (r *Register) recordResponse(response recordedResponse) {
	if response.RequestID == "" {
		return
	}
	r.responseNumbers[response.RequestID] = r.droppedResponses + len(r.responses)
	r.responses = append(r.responses, response)
	if len(r.responses) <= maxResponses {
		return
	}
	delete(r.responseNumbers, r.responses[0].RequestID)
	r.responses = r.responses[1:]
	r.droppedResponses++
}

// wireConfig is the encoding of a Config in a snapshot.
type wireConfig struct {
	Version        uint64 `cbor:"1,keyasint"`
	Text           string `cbor:"2,keyasint,omitempty"`
	Author         string `cbor:"3,keyasint,omitempty"`
	AcceptedUnixMs int64  `cbor:"4,keyasint,omitempty"`
}

// wireSnapshot is the encoding of a Register.
type wireSnapshot struct {
	Format    uint32             `cbor:"1,keyasint"`
	History   []wireConfig       `cbor:"2,keyasint"`
	Responses []recordedResponse `cbor:"3,keyasint"`
}

// Snapshot encodes the state. Equal states give equal bytes.
func (r *Register) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := wireSnapshot{Format: formatVersion, Responses: r.responses}
	for _, c := range r.history {
		snapshot.History = append(snapshot.History, wireConfig{c.Version, c.Text, c.Author, c.Accepted.UnixMilli()})
	}
	return cbor.Marshal(snapshot)
}

// Restore replaces the state by a snapshot. It returns an error and changes nothing
// when the snapshot is damaged, has a newer format or would lower the version.
func (r *Register) Restore(data []byte) error {
	var snapshot wireSnapshot
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	if snapshot.Format > formatVersion {
		return errors.Newf("configuration snapshot has format %d, this program reads up to %d", snapshot.Format, formatVersion)
	}
	history, err := readHistory(snapshot.History)
	if err != nil {
		return err
	}
	current := r.holder.Current().Version
	if newest := newestVersion(history); newest < current {
		return errors.Newf("configuration snapshot at version %d is older than version %d in force", newest, current)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = history
	r.responses = snapshot.Responses
	r.droppedResponses = 0
	r.responseNumbers = make(map[string]int, len(r.responses))
	for i, a := range r.responses {
		r.responseNumbers[a.RequestID] = i
	}
	if len(history) > 0 {
		r.holder.Set(newestWithDocument(history))
	}
	return nil
}

// newestWithDocument returns the newest version with its document. If its text can't be
// read, it sets Unreadable and the document of the last version that can be read.
func newestWithDocument(history []Config) Config {
	newest := history[len(history)-1]
	document, err := Parse(newest.Text)
	if err == nil {
		newest.Document = document
		return newest
	}
	newest.Unreadable = fault.From(err).Message
	newest.Document = &Document{}
	for _, older := range slices.Backward(history) {
		if document, err := Parse(older.Text); err == nil {
			newest.Document = document
			break
		}
	}
	return newest
}

// readHistory returns the versions of a snapshot, or an error if their numbers don't grow.
func readHistory(wire []wireConfig) ([]Config, error) {
	var history []Config
	before := uint64(0)
	for _, w := range wire {
		if w.Version <= before {
			return nil, errors.Newf("configuration snapshot holds version %d after version %d", w.Version, before)
		}
		before = w.Version
		history = append(history, Config{
			Version:  w.Version,
			Text:     w.Text,
			Author:   w.Author,
			Accepted: time.UnixMilli(w.AcceptedUnixMs),
		})
	}
	return history, nil
}

func (c Config) withoutDocument() Config {
	c.Document = nil
	c.Unreadable = ""
	return c
}

func newestVersion(history []Config) uint64 {
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].Version
}
