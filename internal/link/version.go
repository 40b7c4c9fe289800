package link

import (
	"context"
	"sync/atomic"
)

// VersionNote is where a call that is being served says by which version of the
// configuration it is answered.
type VersionNote struct{ version atomic.Uint64 }

// Version returns what was noted last, 0 for nothing.
func (n *VersionNote) Version() uint64 { return n.version.Load() }

type versionNoteKey struct{}

// WithVersionNote returns a context for serving a call, and the note that
// NoteVersion writes to.
func WithVersionNote(ctx context.Context) (context.Context, *VersionNote) {
	note := &VersionNote{}
	return context.WithValue(ctx, versionNoteKey{}, note), note
}

// NoteVersion says by which version of the configuration the call that ctx belongs
// to is answered. It does nothing where nobody asks.
func NoteVersion(ctx context.Context, version uint64) {
	if note, ok := ctx.Value(versionNoteKey{}).(*VersionNote); ok {
		note.version.Store(version)
	}
}
