package workflow

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a field that a snapshot or the log silently drops: of two fields of a struct
// with the same CBOR key, embedded ones included, only one is encoded.
func TestCBORKeysAreUniquePerStruct(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var check func(reflect.Type)
	check = func(of reflect.Type) {
		switch of.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			check(of.Elem())
			return
		case reflect.Map:
			check(of.Key())
			check(of.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		if seen[of] {
			return
		}
		seen[of] = true
		keys := map[string]string{}
		for _, field := range reflect.VisibleFields(of) {
			tag, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if field.Anonymous || tag == "" || tag == "-" {
				continue
			}
			must.Eq(t, "", keys[tag], must.Sprintf("CBOR key %s of %s is used by %s and %s", tag, of, keys[tag], field.Name))
			keys[tag] = field.Name
			check(field.Type)
		}
	}
	check(reflect.TypeFor[State]())
	check(reflect.TypeFor[Command]())
	must.True(t, seen[reflect.TypeFor[Policy]()])
}
