package standin

import (
	"net/http"
	"sync"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// Site is one data centre as a stand-in sees it.
type DataCentre struct {
	// Name is the name of the data centre.
	Name string
	// Entries are addresses (IP:port) of the entry instances of the data centre.
	Entries []string
}

// NewHTTPClient returns a client that speaks HTTP/2 without TLS and sends token
// as the bearer token of each request. Every client keeps connections of its
// own, as separate processes would. Dial opens them; nil means TCP.
func NewHTTPClient(token string, dial rpc.Dial) *http.Client {
	client := rpc.NewClient(dial)
	client.Transport = &bearerTransport{token: token, next: client.Transport}
	return client
}

// bearer adds the bearer token to each request.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token == "" {
		return b.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

// CloseIdleConnections lets http.Client close the connections of the transport.
func (b *bearerTransport) CloseIdleConnections() {
	if t, ok := b.next.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

func baseURL(address string) string { return "http://" + address }

// newClients returns one client per entry address.
func newClients[C any](entries []string, newClient func(base string) C) []C {
	clients := make([]C, 0, len(entries))
	for _, address := range entries {
		clients = append(clients, newClient(baseURL(address)))
	}
	return clients
}

// rotation holds one client per entry address and the one in use. A failed call
// moves on to the next address, so that the loss of an entry instance costs one
// call.
type failover[C any] struct {
	mu      sync.Mutex
	clients []C
	current int
}

func newFailover[C any](clients []C, first int) *failover[C] {
	return &failover[C]{clients: clients, current: first % max(len(clients), 1)}
}

// pick returns the client in use and its index.
func (r *failover[C]) pick() (C, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clients[r.current], r.current
}

// failed moves on from the client with the given index, unless another call has
// moved on already.
func (r *failover[C]) markFailed(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == index {
		r.current = (r.current + 1) % len(r.clients)
	}
}
