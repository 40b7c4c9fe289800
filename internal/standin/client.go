package standin

import (
	"net/http"
	"sync"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// DataCentre is the name of a data centre and the addresses by which stand-ins
// reach it.
type DataCentre struct {
	// Name is the name of the data centre.
	Name string
	// Entries are the addresses (IP:port) of its entry instances.
	Entries []string
}

// NewHTTPClient returns a client that speaks HTTP/2 without TLS and sends token
// as the bearer token of each request. Clients share no connections, as if each
// were a separate process. dial opens the connections; nil means TCP.
func NewHTTPClient(token string, dial rpc.Dial) *http.Client {
	client := rpc.NewClient(dial)
	client.Transport = &bearerTransport{token: token, next: client.Transport}
	return client
}

// bearerTransport is an http.RoundTripper that adds the bearer token to each request.
// An empty token adds nothing.
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

// CloseIdleConnections closes the idle connections of the transport; http.Client
// calls it from its method of the same name.
func (b *bearerTransport) CloseIdleConnections() {
	if t, ok := b.next.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

func baseURL(address string) string { return "http://" + address }

// newClients returns one client per entry address.
func newClients[C any](entries []string, newClient func(url string) C) []C {
	clients := make([]C, 0, len(entries))
	for _, address := range entries {
		clients = append(clients, newClient(baseURL(address)))
	}
	return clients
}

// failover holds one client per entry address and selects one of them. A failed
// call selects the next address, so that the loss of an entry instance fails only
// the calls in flight to it.
type failover[C any] struct {
	mu            sync.Mutex
	clients       []C
	selectedIndex int
}

// newFailover returns a failover whose selected client is the one with index first,
// modulo the number of clients.
func newFailover[C any](clients []C, first int) *failover[C] {
	return &failover[C]{clients: clients, selectedIndex: first % max(len(clients), 1)}
}

// pick returns the selected client and its index.
func (f *failover[C]) pick() (C, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clients[f.selectedIndex], f.selectedIndex
}

// markFailed selects the next client if the client with the given index is still
// selected, so that concurrent failures of one client don't skip another client.
func (f *failover[C]) markFailed(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.selectedIndex == index {
		f.selectedIndex = (f.selectedIndex + 1) % len(f.clients)
	}
}
