package link

import (
	"context"
	"sync/atomic"
)

// VersionRecorder holds the configuration version that the response to one call names.
type VersionRecorder struct{ version atomic.Uint64 }

// Version returns the configuration version recorded last, 0 for none.
func (r *VersionRecorder) Version() uint64 { return r.version.Load() }

type versionRecorderKey struct{}

// WithVersionRecorder returns a context for serving a call, and the recorder to which
// RecordVersion writes under that context.
func WithVersionRecorder(ctx context.Context) (context.Context, *VersionRecorder) {
	recorder := &VersionRecorder{}
	return context.WithValue(ctx, versionRecorderKey{}, recorder), recorder
}

// RecordVersion records the configuration version that the response to the call served
// under ctx names. It does nothing if ctx has no recorder.
func RecordVersion(ctx context.Context, version uint64) {
	if recorder, ok := ctx.Value(versionRecorderKey{}).(*VersionRecorder); ok {
		recorder.version.Store(version)
	}
}
