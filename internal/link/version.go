package link

import (
	"context"
	"sync/atomic"
)

// Versions are the versions of the configuration by which a response may have been made. Newest was in
// force; the response would have been the same under each version from Oldest on. The zero value stands
// for a response that names no version.
type Versions struct {
	Oldest, Newest uint64
}

// VersionRecorder holds the configuration versions that the response to one call names.
type VersionRecorder struct{ versions atomic.Pointer[Versions] }

// Versions returns the versions recorded last, the zero value for none.
func (r *VersionRecorder) Versions() Versions {
	if versions := r.versions.Load(); versions != nil {
		return *versions
	}
	return Versions{}
}

type versionRecorderKey struct{}

// WithVersionRecorder returns a context for serving a call, and the recorder to which
// RecordVersions writes under that context.
func WithVersionRecorder(ctx context.Context) (context.Context, *VersionRecorder) {
	recorder := &VersionRecorder{}
	return context.WithValue(ctx, versionRecorderKey{}, recorder), recorder
}

// RecordVersions records the configuration versions that the response to the call served
// under ctx names. It does nothing if ctx has no recorder.
func RecordVersions(ctx context.Context, versions Versions) {
	if recorder, ok := ctx.Value(versionRecorderKey{}).(*VersionRecorder); ok {
		recorder.versions.Store(&versions)
	}
}
