// Package bearer reads the key of a caller from the header of an HTTP request.
package bearer

import (
	"net/http"
	"strings"
)

const (
	// Header is the header that carries the key, and ChallengeHeader that of a response which asks for one.
	Header          = "Authorization"
	ChallengeHeader = "WWW-Authenticate"
	// Scheme is the scheme of Header; its case doesn't matter.
	Scheme = "Bearer"
	// MaxKeyBytes bounds the length of a key. A longer one is treated as missing.
	MaxKeyBytes = 1024
)

// Key returns the key in a request's Header. ok is false unless there is exactly one such header, with
// Scheme and a key: of two keys, it isn't known which one is meant.
func Key(header http.Header) (key string, ok bool) {
	values := header.Values(Header)
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, found && strings.EqualFold(scheme, Scheme) && key != "" && len(key) <= MaxKeyBytes
}
