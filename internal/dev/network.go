package dev

import (
	"context"
	"net"
	"time"
)

// Network is what a deployment and its stand-ins reach each other over.
type Network interface {
	// Listen opens a socket at an address of its own.
	Listen() (net.Listener, error)
	// Dial opens a connection to such a socket.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is the network of the machine itself.
type Loopback struct{}

// Listen opens a free port.
func (Loopback) Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dial opens a connection over TCP.
func (Loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second
