package units

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestParseAndFormatSize(t *testing.T) {
	for text, want := range map[string]int64{"0B": 0, "1B": 1, "64KiB": 64 * KiB, "3MiB": 3 * MiB, "4GiB": 4 * GiB, "2TiB": 2 * TiB} {
		got, err := ParseSize(text)
		must.NoError(t, err)
		must.Eq(t, want, got)
		must.Eq(t, text, FormatSize(got))
	}
	for _, text := range []string{"", "1", "KiB", "-1KiB", "+1KiB", "1 KiB", "1.5GiB", "1kb", "1ms", "9223372036854775807KiB", "99999999999999999999B"} {
		_, err := ParseSize(text)
		must.Error(t, err)
	}
	mib, err := ParseMiB("4GiB")
	must.NoError(t, err)
	must.Eq(t, 4096, mib)
	_, err = ParseMiB("1KiB")
	must.Error(t, err)
}

func TestParseAndFormatCores(t *testing.T) {
	for text, want := range map[string]int64{"0": 0, "2": 2000, "0.5": 500, "1.025": 1025, "0.500000": 500} {
		got, err := ParseCores(text)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	for _, text := range []string{"", ".5", "1.", "1.0001", "-1", "+1", "1e3", "1.-5", "0x2", "99999999", "NaN"} {
		_, err := ParseCores(text)
		must.Error(t, err)
	}
	must.Eq(t, "0.025", FormatCores(25))
	must.Eq(t, "2", FormatCores(2000))
	must.Eq(t, "-1.5", FormatCores(-1500))
}

func TestParseDurationRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "50", "-1s", "1 s", "1d", "99999999999h"} {
		_, err := ParseDuration(text)
		must.Error(t, err)
	}
	d, err := ParseDuration("1500ms")
	must.NoError(t, err)
	must.Eq(t, "1.5s", d.String())
}
