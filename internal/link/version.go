package link

import (
	"context"
	"sync/atomic"
)

// VersionRecorder holds the version of the configuration by which a call is answered
// while the call is served.
type VersionRecorder struct{ version atomic.Uint64 }

// Version returns the version recorded last, 0 for none.
func (r *VersionRecorder) Version() uint64 { return r.version.Load() }

type versionRecorderKey struct{}

// WithVersionRecorder returns a context for serving a call, and the recorder that
// RecordVersion writes to.
func WithVersionRecorder(ctx context.Context) (context.Context, *VersionRecorder) {
	recorder := &VersionRecorder{}
	return context.WithValue(ctx, versionRecorderKey{}, recorder), recorder
}

// RecordVersion records the version of the configuration by which the call that is
// served under ctx is answered. It does nothing if ctx has no recorder.
func RecordVersion(ctx context.Context, version uint64) {
	if recorder, ok := ctx.Value(versionRecorderKey{}).(*VersionRecorder); ok {
		recorder.version.Store(version)
	}
}
