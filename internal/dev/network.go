package dev

import (
	"context"
	"net"
	"time"
)

// Network connects the processes of a deployment and its stand-ins.
type Network interface {
	// Listen opens a listener at a free address.
	Listen() (net.Listener, error)
	// Dial opens a connection to the address of a listener.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// LogClock returns the clock of the replicated logs, nil for the default of package node.
	LogClock() func() time.Time
}

// Loopback is the Network of TCP connections over the loopback interface.
type Loopback struct{}

// Listen opens a listener at a free port of 127.0.0.1.
func (Loopback) Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dial opens a TCP connection. It fails after dialTimeout (1 second).
func (Loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// LogClock returns nil.
func (Loopback) LogClock() func() time.Time { return nil }

// dialTimeout bounds the time in which Loopback.Dial opens a connection.
const dialTimeout = time.Second
