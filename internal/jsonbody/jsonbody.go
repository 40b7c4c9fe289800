// Package jsonbody reads and writes the JSON bodies of HTTP requests and responses.
package jsonbody

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/peermem"
)

// ContentType is the media type of the bodies.
const ContentType = "application/json"

// Decode reads a JSON body of at most limit bytes into v and returns the bytes. It ignores
// unknown fields, and rejects duplicate names because the sender could mean either value. Names that
// differ only in case are duplicates, since encoding/json takes a name in any case for a field.
// Errors have the kind fault.Invalid; the error for a longer body is marked ErrTooLong. A body that
// couldn't be received whole has the kind fault.Unavailable and is marked ErrIncomplete.
func Decode(body io.Reader, limit int64, v any) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if errors.Is(err, peermem.ErrMemory) {
		return nil, fault.New(fault.Overloaded, "%v", err)
	}
	if err != nil {
		return nil, errors.Mark(fault.New(fault.Unavailable, "the body can't be read: %v", err), ErrIncomplete)
	}
	if int64(len(data)) > limit {
		return nil, errors.Mark(fault.Field("body", "longer than %d bytes", limit), ErrTooLong)
	}
	if len(data) > largeBody {
		decoding <- struct{}{}
		defer func() { <-decoding }()
	}
	if err := checkDocument(data); err != nil {
		return nil, fault.Field("body", "%v", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fault.Field("body", "%v", err)
	}
	return data, nil
}

// DecodeBefore is Decode of the body of a request that w responds to. The body must have been received whole by
// the deadline; the zero time is no deadline.
func DecodeBefore(deadline time.Time, w http.ResponseWriter, r *http.Request, limit int64, v any) ([]byte, error) {
	if deadline.IsZero() {
		return Decode(r.Body, limit, v)
	}
	// A writer that isn't that of a server can't set deadlines.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	data, err := Decode(r.Body, limit, v)
	if err == nil {
		// The deadline would otherwise end the context of the request. After an error it also bounds how long the
		// server discards the rest of the body.
		_ = controller.SetReadDeadline(time.Time{})
	}
	return data, err
}

// ErrTooLong marks the error of a body that is longer than its limit.
var ErrTooLong = errors.New("body too long")

// ErrIncomplete marks the error of a body that wasn't received whole.
var ErrIncomplete = errors.New("body incomplete")

const (
	// maxDepth bounds how deeply arrays and objects are nested. Each level takes many times the bytes of its brackets.
	maxDepth = 32
	// A document may have freeValues values, and one more for each bytesPerValue bytes of it, since a decoded value
	// takes many times the bytes of an empty one. A row of a worker's report has six values in 38 bytes. An object
	// counts as valuesPerObject, since its decoded form has all fields, however few the object names. A job of 1000
	// short steps needs most of freeValues.
	freeValues      = 10_000
	bytesPerValue   = 5
	valuesPerObject = 9
	// largeBody is the size from which bodies are decoded one after the other for each processor.
	largeBody = 16 << 10
)

// decoding has a place for each large body that may be decoded at the same time.
var decoding = make(chan struct{}, runtime.GOMAXPROCS(0))

var (
	errDuplicateName = errors.New("duplicate name")
	errTrailingData  = errors.New("data after the end of the document")
	errTooDeep       = errors.Newf("nested more than %d deep", maxDepth)
	errTooManyValues = errors.New("too many values for its size")
)

// documentCheck checks a document before it is decoded.
type documentCheck struct {
	decoder *json.Decoder
	// depth is the number of open arrays and objects, valuesLeft how many more values may come.
	depth, valuesLeft int
}

// checkDocument rejects duplicate names in an object, data after the document, and documents whose decoded form takes
// many times their size.
func checkDocument(data []byte) error {
	c := &documentCheck{decoder: json.NewDecoder(bytes.NewReader(data)), valuesLeft: freeValues + len(data)/bytesPerValue}
	c.decoder.UseNumber()
	if err := c.checkValue(); err != nil {
		return err
	}
	if _, err := c.decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

func (c *documentCheck) checkValue() error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	c.valuesLeft -= valueCount(token)
	if c.valuesLeft < 0 {
		return errTooManyValues
	}
	switch token {
	case json.Delim('{'):
		return c.nested(c.checkObject)
	case json.Delim('['):
		return c.nested(c.checkArray)
	}
	return nil
}

// valueCount returns as how many values the value that begins with a token counts.
func valueCount(first json.Token) int {
	if first == json.Delim('{') {
		return valuesPerObject
	}
	return 1
}

// nested checks the rest of an array or object, one level deeper.
func (c *documentCheck) nested(check func() error) error {
	if c.depth++; c.depth > maxDepth {
		return errTooDeep
	}
	defer func() { c.depth-- }()
	return check()
}

func (c *documentCheck) checkArray() error {
	for c.decoder.More() {
		if err := c.checkValue(); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *documentCheck) checkObject() error {
	seenNames := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		folded := foldCase(name)
		if seenNames[folded] {
			return errors.Wrapf(errDuplicateName, "%q", name)
		}
		seenNames[folded] = true
		if err := c.checkValue(); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// foldCase returns the same text for all names that are equal under Unicode case folding. Lower case alone
// keeps letters apart that share an upper case, such as s and the long s.
func foldCase(name string) string { return strings.ToLower(strings.ToUpper(name)) }

// Write responds with a status and v as the JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	// A write error means that the caller has disconnected; the caller retries.
	_, _ = w.Write(data)
}
