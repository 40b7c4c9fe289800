// Package place gives hosts and paths the one spelling under which requests and queues are compared.
package place

import (
	"net"
	"net/url"
	"strings"
)

// Host returns a host in lower case, without a port and without the dot that ends a fully qualified name.
func Host(host string) string {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Path returns a path without percent-encoding. A path that isn't validly encoded is returned as it is.
func Path(path string) string {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return path
	}
	return decoded
}
