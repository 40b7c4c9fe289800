package workflow

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a field that a snapshot or the log silently drops: if two fields of a
// struct have the same CBOR key, those of embedded structs included, at most one of them is
// encoded.
func TestCBORKeysAreUniquePerStruct(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var check func(reflect.Type)
	check = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			check(typ.Elem())
			return
		case reflect.Map:
			check(typ.Key())
			check(typ.Elem())
			return
		case reflect.Struct:
		default:
			return
		}
		if seen[typ] {
			return
		}
		seen[typ] = true
		keys := map[string]string{}
		for _, field := range reflect.VisibleFields(typ) {
			tag, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if field.Anonymous || tag == "" || tag == "-" {
				continue
			}
			must.Eq(t, "", keys[tag], must.Sprintf("CBOR key %s of %s is used by %s and %s", tag, typ, keys[tag], field.Name))
			keys[tag] = field.Name
			check(field.Type)
		}
	}
	check(reflect.TypeFor[State]())
	check(reflect.TypeFor[Command]())
	must.True(t, seen[reflect.TypeFor[Policy]()])
}

// Guards against a change of the form in which log lines and operators' tools name tasks and
// steps.
func TestKeysAsLogsShowThem(t *testing.T) {
	key := TaskKey{StepKey: StepKey{Job: "job-a", Occurrence: 12, Step: 3}, Index: 140}
	must.Eq(t, "job-a/12/3/140", key.String())
	must.Eq(t, "job-a/12/3", key.StepKey.String())
}
