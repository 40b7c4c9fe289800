package workflow

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// manyElements is more than the default of the library's decoder for the elements of an array.
const manyElements = 200_000

// Guards against a command that is committed and that no member can decode.
func TestEveryEncodedCommandCanBeDecoded(t *testing.T) {
	worker := Worker{ID: "i-\xff\xfe", Name: "\xc3\x28", Labels: strings.Split(strings.Repeat("a,", manyElements), ",")}
	for name, command := range map[string]Command{
		"text that isn't UTF-8": {Cancel: "\xff"},
		"worker":                {Worker: &worker},
		"many services":         {Configuration: &Document{Version: 1, Services: make([]Service, manyElements)}},
		"many runs":             {Start: make([]Run, manyElements)},
	} {
		encoded, err := command.Encode()
		must.NoError(t, err, must.Sprint(name))
		decoded, err := Decode(encoded)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, command, decoded, must.Sprint(name))
	}
}

// Guards against a snapshot that its own member can't restore.
func TestEverySnapshotCanBeRestored(t *testing.T) {
	s := NewState()
	worker := Worker{ID: "i-\xff\xfe", Name: "\xc3\x28"}
	s.Apply(1, &Command{Worker: &worker})
	s.Apply(2, &Command{Configuration: &Document{Version: 1, Source: []byte("{}"), Services: make([]Service, manyElements)}})
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(encoded)
	must.NoError(t, err)
	must.NotNil(t, restored.Workers[worker.ID])
	must.Len(t, manyElements, restored.Configuration.Services)
}
