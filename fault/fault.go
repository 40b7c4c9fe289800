// Package fault defines the fixed set of error kinds that callers, operators, workers and
// minions see, and how each kind is reported: HTTP status, twirp code, exit code and retry
// advice.
package fault

import (
	stderrors "errors"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// Kind is an error kind of the fixed set.
type Kind uint8

// The error kinds.
const (
	// Internal is an unexpected error of the system.
	Internal Kind = iota
	// Invalid means that the input is invalid.
	Invalid
	// NotFound means that the named object doesn't exist.
	NotFound
	// Denied means that the caller isn't authenticated or may not make the call.
	Denied
	// Conflict means that the call contradicts the current state.
	Conflict
	// Infeasible means that the job needs more than the workers have.
	Infeasible
	// DeadlineUnreachable means that the job can't meet its deadline.
	DeadlineUnreachable
	// QuotaExceeded means that the quota is used up.
	QuotaExceeded
	// Overloaded means that a limit on load or pending work is reached or that there are no
	// workers.
	Overloaded
	// Unavailable means that no leader was reached or that no response arrived in time.
	Unavailable
	// NotRun means that it is certain that no attempt has started.
	NotRun
	// Failed means that the job failed.
	Failed
	// Cancelled means that the job was cancelled; it is also used for an unknown job of a queue.
	Cancelled
	// Unknown means that the outcome of the call or job is unknown.
	Unknown
	kindCount
)

// RetryAdvice says whether and when a caller may send the same call again.
type RetryAdvice uint8

// Values of RetryAdvice.
const (
	// Never means that the same call fails again.
	Never RetryAdvice = iota
	// Later means that the same call may be sent again after the delay that the error names.
	Later
	// SameRequestID means that the outcome of the call is unknown; send it again with the same
	// request ID.
	SameRequestID
)

// representation is how an error kind is reported: the name that users see, the HTTP status,
// the twirp code, the exit code of the command line and the retry advice.
type representation struct {
	name       string
	httpStatus int
	twirpCode  twirp.ErrorCode
	exitCode   int
	advice     RetryAdvice
}

// representations has the representation of each kind.
var representations = [kindCount]representation{
	Internal:            {"Internal", http.StatusInternalServerError, twirp.Internal, 10, SameRequestID},
	Invalid:             {"Invalid", http.StatusBadRequest, twirp.InvalidArgument, 2, Never},
	NotFound:            {"NotFound", http.StatusNotFound, twirp.NotFound, 3, Never},
	Denied:              {"Denied", http.StatusForbidden, twirp.PermissionDenied, 4, Never},
	Conflict:            {"Conflict", http.StatusConflict, twirp.AlreadyExists, 5, Never},
	Infeasible:          {"Infeasible", http.StatusUnprocessableEntity, twirp.FailedPrecondition, 6, Never},
	DeadlineUnreachable: {"DeadlineUnreachable", http.StatusUnprocessableEntity, twirp.FailedPrecondition, 7, Later},
	QuotaExceeded:       {"QuotaExceeded", http.StatusTooManyRequests, twirp.ResourceExhausted, 8, Later},
	Overloaded:          {"Overloaded", http.StatusServiceUnavailable, twirp.ResourceExhausted, 9, Later},
	Unavailable:         {"Unavailable", http.StatusServiceUnavailable, twirp.Unavailable, 11, SameRequestID},
	NotRun:              {"NotRun", http.StatusConflict, twirp.Aborted, 12, Later},
	Failed:              {"Failed", http.StatusBadGateway, twirp.Aborted, 13, Never},
	Cancelled:           {"Cancelled", http.StatusGone, twirp.Canceled, 14, Never},
	Unknown:             {"Unknown", http.StatusGatewayTimeout, twirp.Unknown, 15, Never},
}

// Names of the twirp metadata and HTTP headers that carry an error.
const (
	metaKind       = "kind"
	metaField      = "field"
	metaRetryAfter = "retry_after"

	// HeaderKind carries the error kind in HTTP responses of the proxy.
	HeaderKind = "Bilberry-Error"
	// HeaderRetryAfter is the HTTP header Retry-After, in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"
)

// String returns the name of the kind as users see it. For an undefined kind it returns the
// name of Internal.
func (k Kind) String() string {
	if k >= kindCount {
		return representations[Internal].name
	}
	return representations[k].name
}

// HTTPStatus returns the HTTP status for the kind.
func (k Kind) HTTPStatus() int { return representations[k%kindCount].httpStatus }

// TwirpCode returns the twirp code for the kind.
func (k Kind) TwirpCode() twirp.ErrorCode { return representations[k%kindCount].twirpCode }

// ExitCode returns the exit code of the command line for the kind.
func (k Kind) ExitCode() int { return representations[k%kindCount].exitCode }

// RetryAdvice returns whether and when the call may be sent again.
func (k Kind) RetryAdvice() RetryAdvice { return representations[k%kindCount].advice }

// Parse returns the kind with the given name, or Internal and false for an unknown name.
func Parse(name string) (Kind, bool) {
	for k := Kind(0); k < kindCount; k++ {
		if representations[k].name == name {
			return k, true
		}
	}
	return Internal, false
}

// Kinds returns all kinds in the order of their constants.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error with a kind. Field names the offending field of invalid input; RetryAfter
// is the delay before a retry, or 0 if the error names none.
type Error struct {
	Kind       Kind
	Field      string
	Message    string
	RetryAfter time.Duration
}

// Error returns the name of the kind, the field if there is one, and the message.
func (e *Error) Error() string {
	if e.Field != "" {
		return e.Kind.String() + ": " + e.Field + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message
}

// New returns an error of a kind. It records the stack for logs.
func New(kind Kind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, Message: errors.Newf(format, args...).Error()}, 1)
}

// Field returns an Invalid error that names the field.
func Field(field, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: Invalid, Field: field, Message: errors.Newf(format, args...).Error()}, 1)
}

// Retry returns an error of a kind that names the delay before a retry.
func Retry(kind Kind, retryAfter time.Duration, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Kind: kind, RetryAfter: retryAfter, Message: errors.Newf(format, args...).Error()}, 1)
}

// From returns the Error in the chain of err, or nil if err is nil. It converts a twirp error
// by its metadata or code, and any other error to Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	var twirpErr twirp.Error
	if stderrors.As(err, &twirpErr) {
		return fromTwirp(twirpErr)
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// KindOf returns the kind of err, which must not be nil.
func KindOf(err error) Kind { return From(err).Kind }

// Is reports whether err carries the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// ToTwirp converts err to a twirp error for the wire. A twirp error that carries a kind
// already is returned unchanged.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	var existing twirp.Error
	if stderrors.As(err, &existing) && existing.Meta(metaKind) != "" {
		return existing
	}
	f := From(err)
	twirpErr := twirp.NewError(f.Kind.TwirpCode(), f.Message).WithMeta(metaKind, f.Kind.String())
	if f.Field != "" {
		twirpErr = twirpErr.WithMeta(metaField, f.Field)
	}
	if f.RetryAfter > 0 {
		twirpErr = twirpErr.WithMeta(metaRetryAfter, f.RetryAfter.String())
	}
	return twirpErr
}

// kindByTwirpCode maps the codes of errors that twirp itself raises, which carry no kind in
// their metadata.
var kindByTwirpCode = map[twirp.ErrorCode]Kind{
	twirp.InvalidArgument:  Invalid,
	twirp.Malformed:        Invalid,
	twirp.BadRoute:         NotFound,
	twirp.NotFound:         NotFound,
	twirp.PermissionDenied: Denied,
	twirp.Unauthenticated:  Denied,
	twirp.Unavailable:      Unavailable,
	twirp.DeadlineExceeded: Unavailable,
	twirp.Canceled:         Unavailable,
	twirp.Unknown:          Unavailable,
}

// fromTwirp converts a twirp error. An error that carries no kind gets that of its code.
func fromTwirp(twirpErr twirp.Error) *Error {
	f := &Error{Message: twirpErr.Msg(), Field: twirpErr.Meta(metaField)}
	if retryAfter, err := time.ParseDuration(twirpErr.Meta(metaRetryAfter)); err == nil {
		f.RetryAfter = retryAfter
	}
	if kind, ok := Parse(twirpErr.Meta(metaKind)); ok {
		f.Kind = kind
		return f
	}
	if kind, ok := kindByTwirpCode[twirpErr.Code()]; ok {
		f.Kind = kind
		return f
	}
	// Twirp reports a transport error of the client as Internal. The call may have been
	// executed, so the kind is Unavailable, which advises a retry with the same request ID.
	if twirpErr.Code() == twirp.Internal {
		f.Kind = Unavailable
	}
	return f
}
