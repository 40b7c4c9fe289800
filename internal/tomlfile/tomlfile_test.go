package tomlfile

import (
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

type sample struct {
	Name  string `toml:"name"`
	Items []struct {
		Size  Text `toml:"size"`
		Count int  `toml:"count"`
	} `toml:"item"`
}

func TestErrorsNameLineOfArrayElement(t *testing.T) {
	var v sample
	f, err := Decode("f", []byte("name = \"x\"\n[[item]]\nsize = 1\n\n[[item]]\nsize = 0.5\n"), &v)
	must.NoError(t, err)
	must.Eq(t, Text("1"), v.Items[0].Size)
	must.ErrorContains(t, f.Errorf("item[1].size", "bad"), "f line 6: bad")
	must.ErrorContains(t, f.Errorf("item[1].count", "missing"), "f line 5: missing")
	_, err = Decode("f", []byte("[[item]]\ncount = 1\n[[item]]\ncount = \"a\"\n"), &v)
	must.ErrorContains(t, err, "incompatible types")
	_, err = Decode("f", []byte("[item]\nconut = 1\n"), &v)
	must.Error(t, err)
}

// Bounds on the error for a rejected text and on the memory allocated for it, in bytes.
const (
	maxErrorBytes     = 1000
	maxAllocatedBytes = 64 << 20
)

// A text of 60 KB with one key of 30,000 dots, or with thousands of nested brackets, makes
// the TOML library exhaust the memory or the stack, and the daemon exits. Such text must be
// rejected before the library decodes it. Dots and brackets within strings and comments
// must be accepted.
func TestExcessiveNestingIsRejected(t *testing.T) {
	const repetitions = 30_000
	rejected := map[string]string{
		"dots":      "a" + strings.Repeat(".a", repetitions) + "=1",
		"spaced":    "a" + strings.Repeat(" . a", repetitions) + "=1",
		"quoted":    "a" + strings.Repeat(".\"a\"", repetitions) + "=1",
		"header":    "[a" + strings.Repeat(".a", repetitions) + "]",
		"array":     "[[a" + strings.Repeat(".a", repetitions) + "]]",
		"inline":    "x = {a" + strings.Repeat(".a", repetitions) + "=1}",
		"brackets":  "x = " + strings.Repeat("[", repetitions),
		"braces":    strings.Repeat("a={", repetitions),
		"after str": "x = \"\"\"a\"\"\"\"\"\ny" + strings.Repeat(".y", repetitions) + "=1",
		"digits":    "x = " + strings.Repeat("1", repetitions),
		"key":       strings.Repeat("k", repetitions) + " = 1",
	}
	for name, text := range rejected {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := Decode("nested", []byte(text), &sample{})
			runtime.ReadMemStats(&after)
			must.True(t, fault.Is(err, fault.Invalid))
			must.Less(t, maxErrorBytes, len(err.Error()))
			must.Less(t, maxAllocatedBytes, after.TotalAlloc-before.TotalAlloc)
		})
	}
	dots := strings.Repeat(".[", 100)
	for _, harmless := range []string{
		"name = \"" + dots + "\\\"" + dots + "\"",
		"name = '" + dots + "\\'",
		"name = \"\"\"" + dots + "\n\"" + dots + "\"\"\"\"\"",
		"name = '''" + dots + "\n'" + dots + "'''",
		"# " + dots + "\nname = \"\"",
	} {
		_, err := Decode("harmless", []byte(harmless), &sample{})
		must.NoError(t, err)
	}
	_, err := Decode("large", make([]byte, MaxBytes+1), &sample{})
	must.ErrorContains(t, err, "too many")
}

func TestNearestFindsSimilarWord(t *testing.T) {
	words := []string{"deadline", "payload", "policy"}
	for word, want := range map[string]string{"dedline": "deadline", "Policy": "policy", "apyload": "payload", "xyz": "", "": "", strings.Repeat("p", 999): ""} {
		must.Eq(t, want, Nearest(word, words))
	}
}
