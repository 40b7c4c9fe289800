package link

import (
	"context"
	"sync/atomic"
)

// VersionRecorder is where a call that is being served says by which version of the
// configuration it is answered.
type VersionRecorder struct{ version atomic.Uint64 }

// Version returns what was noted last, 0 for nothing.
func (r *VersionRecorder) Version() uint64 { return r.version.Load() }

type versionRecorderKey struct{}

// WithVersionRecorder returns a context for serving a call, and the note that
// RecordVersion writes to.
func WithVersionRecorder(ctx context.Context) (context.Context, *VersionRecorder) {
	recorder := &VersionRecorder{}
	return context.WithValue(ctx, versionRecorderKey{}, recorder), recorder
}

// RecordVersion says by which version of the configuration the call that ctx belongs
// to is answered. It does nothing where nobody asks.
func RecordVersion(ctx context.Context, version uint64) {
	if recorder, ok := ctx.Value(versionRecorderKey{}).(*VersionRecorder); ok {
		recorder.version.Store(version)
	}
}
