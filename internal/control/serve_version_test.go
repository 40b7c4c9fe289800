package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
)

func TestAnAnswerNotesTheVersionThatTheQueueWasLookedUpIn(t *testing.T) {
	w := newWorld(t, nil)
	ctx, note := link.WithVersionNote(t.Context())
	_, err := w.c.State(ctx, &StateCall{Place: Place{Host: "nowhere", Path: "/x/"}})
	must.Error(t, err)
	must.Eq(t, w.c.version(), note.Version())
	must.Positive(t, note.Version())
}
