// Package rpc holds what every daemon needs to serve and make twirp calls:
// HTTP/2 without TLS on kept connections, bearer tokens, body limits, and the
// translation of errors into the closed list.
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

// Timeouts of connections. Calls have deadlines of their own.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// pingAfter is after how long of silence a connection is probed, so that a
	// peer that was cut off without a word is noticed while a call is held.
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

// Dial opens a connection. Where one is asked for, nil means TCP.
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

// Caller is who makes a call, and the bearer token that proves it.
type Caller struct {
	settings.Identity
	Bearer string
}

// CallerOf returns the caller of the call being served.
func CallerOf(ctx context.Context) Caller {
	caller, _ := ctx.Value(callerKey{}).(Caller)
	return caller
}

// WithCaller returns a context in which calls are served for a caller.
func WithCaller(ctx context.Context, caller Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, caller)
}

// Authenticate serves next for callers with a known token and bounds the body.
func Authenticate(tokens *settings.TokenSet, maxBody int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bearer := r.Header.Get("Authorization")
		identity, err := tokens.Authenticate(bearer)
		if err != nil {
			_ = twirp.WriteError(w, fault.ToTwirp(err))
			return
		}
		if r.ContentLength > maxBody {
			_ = twirp.WriteError(w, fault.ToTwirp(fault.Field("body", "%d bytes, the limit is %d", r.ContentLength, maxBody)))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		ctx := WithCaller(r.Context(), Caller{Identity: identity, Bearer: bearer})
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Forward returns a context that sends the caller's own token onwards.
func Forward(ctx context.Context) (context.Context, error) {
	return WithBearer(ctx, CallerOf(ctx).Bearer)
}

// WithBearer returns a context whose calls carry an Authorization header.
func WithBearer(ctx context.Context, bearer string) (context.Context, error) {
	header := make(http.Header)
	header.Set("Authorization", bearer)
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

// Require fails with Denied unless the caller has one of the roles.
func Require(ctx context.Context, roles ...settings.Role) (Caller, error) {
	caller := CallerOf(ctx)
	for _, role := range roles {
		if caller.Role == role {
			return caller, nil
		}
	}
	return caller, fault.New(fault.Denied, "a token of role %s may not make this call", caller.Role)
}

// Errors is a twirp interceptor that gives every error its place in the
// closed list before it crosses the wire.
func Errors() twirp.Interceptor {
	return func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			if err == nil {
				return response, nil
			}
			if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
				err = fault.New(fault.Unavailable, "no answer within the time of the call; its fate is open")
			}
			return nil, fault.ToTwirp(err)
		}
	}
}

// Keys of the twirp metadata with which an instance that isn't the leader names
// the one that is, where it knows.
const (
	leaderMeta        = "leader"
	leaderAddressMeta = "leader_address"
)

// notLeaderMessage is the message of an instance that isn't the leader.
const notLeaderMessage = "not the leader"

// Leader is where the leader of a group is reached.
type Leader struct {
	ID      string
	Address string
}

// LeaderIn returns the leader that a member knows of. Its address comes from
// the membership, so an instance that replaced another is found as well.
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

// LeaderOf returns the leader named by an error, and whether the error says
// that the call reached an instance which isn't the leader and did nothing.
func LeaderOf(err error) (Leader, bool) {
	var te twirp.Error
	if !errors.As(err, &te) {
		return Leader{}, false
	}
	return Leader{ID: te.Meta(leaderMeta), Address: te.Meta(leaderAddressMeta)}, te.Msg() == notLeaderMessage
}
