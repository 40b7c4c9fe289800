// Package rpc provides what all daemons use to serve and make Twirp calls: HTTP/2 without
// TLS on persistent connections, bearer tokens, limits on request bodies, and the
// conversion of errors to the kinds of package fault.
package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Timeouts of connections. Calls have their own deadlines.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// pingAfter is how long a connection may receive nothing before a ping is sent, so
	// that a partition is detected while a call waits for its response. Without a response
	// to the ping within pingTimeout, the connection is closed.
	pingAfter   = 4 * time.Second
	pingTimeout = 2 * time.Second
)

// NewServer returns a server that speaks HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Dial opens a connection. Functions that take a Dial use TCP if it is nil.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that speaks HTTP/2 without TLS.
func NewClient(dial Dial) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	if dial == nil {
		dial = (&net.Dialer{Timeout: DialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		DialContext: dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

type callerKey struct{}

// Caller is the identity of a caller and the bearer token that proves it.
type Caller struct {
	settings.Identity
	Bearer string
}

// CallerOf returns the caller of the call that is served under ctx, or the zero Caller if
// ctx has none.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// WithCaller returns a context for serving a call of the caller.
func WithCaller(ctx context.Context, caller Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// Authenticate returns a handler that passes requests with a known bearer token to next,
// with their caller, and refuses others. It limits the request body to maxBodyBytes.
func Authenticate(tokens *settings.TokenSet, maxBodyBytes int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bearer := r.Header.Get("Authorization")
		identity, err := tokens.Authenticate(bearer)
		if err != nil {
			_ = twirp.WriteError(w, fault.ToTwirp(err))
			return
		}
		if r.ContentLength > maxBodyBytes {
			_ = twirp.WriteError(w, fault.ToTwirp(fault.Field("body", "%d bytes, the limit is %d", r.ContentLength, maxBodyBytes)))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		ctx := WithCaller(r.Context(), Caller{Identity: identity, Bearer: bearer})
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// WithCallerBearer returns a context whose outgoing calls carry the token of the caller being
// served.
func WithCallerBearer(ctx context.Context) (context.Context, error) {
	return WithBearer(ctx, CallerOf(ctx).Bearer)
}

// WithBearer returns a context whose outgoing calls carry bearer as their Authorization
// header.
func WithBearer(ctx context.Context, bearer string) (context.Context, error) {
	header := make(http.Header)
	header.Set("Authorization", bearer)
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

// Require returns the caller of the call that is served under ctx. The error is of kind
// Denied unless the caller has one of the roles.
func Require(ctx context.Context, roles ...settings.Role) (Caller, error) {
	caller := CallerOf(ctx)
	for _, role := range roles {
		if caller.Role == role {
			return caller, nil
		}
	}
	return caller, fault.New(fault.Denied, "a token of role %s may not make this call", caller.Role)
}

// ErrorInterceptor returns a Twirp interceptor that converts each error to one of the kinds of
// package fault.
func ErrorInterceptor() twirp.Interceptor {
	return func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			if err == nil {
				return response, nil
			}
			if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
				err = fault.New(fault.Unavailable, "no response before the call ended; its outcome is unknown")
			}
			return nil, fault.ToTwirp(err)
		}
	}
}

// Keys of the Twirp metadata by which an instance that isn't the leader names the
// leader, if it knows it.
const (
	leaderMeta        = "leader"
	leaderAddressMeta = "leader_address"
)

// notLeaderMessage is the error message of an instance that isn't the leader.
const notLeaderMessage = "not the leader"

// Leader is the ID and address of a group's leader; empty fields are unknown.
type Leader struct {
	ID      string
	Address string
}

// LeaderIn returns the leader that a member's status names. It takes the address from the
// membership in the status, which also contains instances that have replaced others. The
// address is empty if the membership doesn't contain the leader.
func LeaderIn(status replica.Status) Leader {
	for _, member := range status.Members {
		if member.ID == status.Leader {
			return Leader{ID: member.ID, Address: member.Address}
		}
	}
	return Leader{ID: status.Leader}
}

// NotLeader returns the error of an instance that isn't the leader.
func NotLeader(leader Leader) error {
	err := fault.ToTwirp(fault.New(fault.Unavailable, notLeaderMessage)).(twirp.Error)
	return err.WithMeta(leaderMeta, leader.ID).WithMeta(leaderAddressMeta, leader.Address)
}

// LeaderOf returns the leader that an error names, and whether the error says that the
// call reached an instance that isn't the leader and did nothing.
func LeaderOf(err error) (Leader, bool) {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return Leader{}, false
	}
	return Leader{ID: twirpError.Meta(leaderMeta), Address: twirpError.Meta(leaderAddressMeta)}, twirpError.Msg() == notLeaderMessage
}
