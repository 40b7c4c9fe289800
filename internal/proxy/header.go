package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Headers of the request path.
const (
	// HeaderDeadline is the time left in milliseconds, or a Unix time in milliseconds.
	HeaderDeadline = "Bilberry-Deadline"
	// HeaderIdempotent is "true" on requests that may run more than once.
	HeaderIdempotent = "Bilberry-Idempotent"
	// HeaderCustomer tells the minion whose request it is. Callers can't set it.
	HeaderCustomer = "Bilberry-Customer"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Bilberry-Retry-After-Ms"
)

// firstUnixMs is the smallest deadline that reads as a Unix time.
const firstUnixMs = 1_000_000_000_000

// hopHeaders belong to one connection and are never passed on.
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

// parseDeadline reads the deadline header. Without one the request gets fallback.
func parseDeadline(h http.Header, fallback time.Duration, wallNow time.Time) (time.Duration, error) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, fault.Field(HeaderDeadline, "want milliseconds, got %q", text)
	}
	if ms >= firstUnixMs {
		return time.UnixMilli(ms).Sub(wallNow), nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// idempotent reads the idempotency header.
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

// removeHopHeaders strips what belongs to one connection only.
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

// requestHeader returns what the minion gets of the caller's header. The
// caller's token is for us and stays here.
func requestHeader(r *http.Request, customer string, remaining time.Duration) http.Header {
	h := r.Header.Clone()
	removeHopHeaders(h)
	h.Del("Authorization")
	h.Set(HeaderCustomer, customer)
	h.Set(HeaderDeadline, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		h.Set("User-Agent", "")
	}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", ip)
	}
	return h
}

// writeFault answers with an error of the closed list.
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
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write([]byte(f.Error() + "\n"))
}
