package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Headers of requests to services and of their responses.
const (
	// HeaderDeadline is the remaining time in milliseconds, or a Unix time in
	// milliseconds.
	HeaderDeadline = "Bilberry-Deadline"
	// HeaderIdempotent is "true" on requests that are safe to run more than once.
	HeaderIdempotent = "Bilberry-Idempotent"
	// HeaderCustomer names the customer of the request to the minion. A value
	// that the caller sends is replaced.
	HeaderCustomer = "Bilberry-Customer"
	// HeaderRetryAfterMs is the value of Retry-After in milliseconds.
	HeaderRetryAfterMs = "Bilberry-Retry-After-Ms"
)

// minUnixDeadlineMs is the smallest value of HeaderDeadline, in milliseconds, that is taken as
// a Unix time and not as the remaining time.
const minUnixDeadlineMs = 1_000_000_000_000

// hopHeaders are the hop-by-hop headers: they apply to one connection and are
// never forwarded.
var hopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}

// parseDeadline returns the time from wallNow until the deadline in HeaderDeadline, or
// fallback if there is no such header. Its error is a fault.
func parseDeadline(h http.Header, fallback time.Duration, wallNow time.Time) (time.Duration, error) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, fault.Field(HeaderDeadline, "want milliseconds, got %q", text)
	}
	if ms >= minUnixDeadlineMs {
		return time.UnixMilli(ms).Sub(wallNow), nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// parseIdempotent reads HeaderIdempotent, which is false if absent. Its error is
// a fault.
func parseIdempotent(h http.Header) (bool, error) {
	text := h.Get(HeaderIdempotent)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, fault.Field(HeaderIdempotent, "want true or false, got %q", text)
	}
	return value, nil
}

// removeHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// requestHeader returns the header of the request to the minion. It omits the caller's
// token, which authenticates the caller to this system only.
func requestHeader(r *http.Request, customer string, remaining time.Duration) http.Header {
	h := r.Header.Clone()
	removeHopHeaders(h)
	h.Del("Authorization")
	h.Set(HeaderCustomer, customer)
	h.Set(HeaderDeadline, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		// The transport adds its own User-Agent unless an empty one is set.
		h.Set("User-Agent", "")
	}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", ip)
	}
	return h
}

// writeFault responds with the fault of err: its kind in a header, its text as
// the body.
func writeFault(w http.ResponseWriter, err error) {
	f := fault.From(err)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(fault.HeaderKind, f.Kind.String())
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		h.Set(fault.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(f.Kind.HTTPStatus())
	// Write fails only if the caller has disconnected and needs no response.
	_, _ = w.Write([]byte(f.Error() + "\n"))
}
