// Package units parses and formats the quantities in files and flags: time spans, sizes in
// bytes and numbers of processor cores. It rejects a number without a unit where the unit
// would be ambiguous.
package units

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
	TiB int64 = 1 << 40
)

const (
	// milliPerCore is the number of thousandths in a core.
	milliPerCore = 1000
	// coreDecimals is the number of decimal places of a core that ParseCores accepts.
	coreDecimals = 3
	// maxCores bounds a number of cores and keeps sums over many tasks far from
	// overflow.
	maxCores = 1_000_000
)

// nonNegativeInt64Bits is the bit size for strconv.ParseUint whose results fit into an
// int64.
const nonNegativeInt64Bits = 63

// sizeUnit is a suffix of sizes with its number of bytes.
type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits are tried in order, so "B" comes after the suffixes that end in it.
var sizeUnits = []sizeUnit{
	{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1},
}

// ParseDuration parses a time span such as "1500ms" or "2m30s". It returns an error
// for a negative one.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Newf("%q isn't a duration with a unit, such as \"1500ms\" or \"3s\"", shorten(text))
	}
	if d < 0 {
		return 0, errors.Newf("%q is negative", shorten(text))
	}
	return d, nil
}

// ParseSize parses a size such as "64KiB" and returns it in bytes. It returns an error for
// a size without a unit, with a sign or with a fraction.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, nonNegativeInt64Bits)
		if err != nil {
			return 0, sizeFormatError(text)
		}
		if n > uint64(math.MaxInt64/unit.bytes) {
			return 0, errors.Newf("%q is too large", shorten(text))
		}
		return int64(n) * unit.bytes, nil
	}
	return 0, sizeFormatError(text)
}

func sizeFormatError(text string) error {
	return errors.Newf("%q isn't a size with a unit, such as \"64KiB\", \"16MiB\" or \"4GiB\"", shorten(text))
}

// FormatSize formats a number of bytes with the largest unit that divides it.
func FormatSize(bytes int64) string {
	for _, unit := range sizeUnits {
		if bytes != 0 && bytes%unit.bytes == 0 {
			return strconv.FormatInt(bytes/unit.bytes, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(bytes, 10) + "B"
}

// ParseMiB parses a size such as "4GiB" and returns it in MiB. It returns an error unless
// the size is a whole number of MiB.
func ParseMiB(text string) (int64, error) {
	n, err := ParseSize(text)
	if err != nil {
		return 0, err
	}
	if n%MiB != 0 {
		return 0, errors.Newf("%q isn't a whole number of MiB", shorten(text))
	}
	return n / MiB, nil
}

// ParseCores parses a number of cores, such as "2" or "0.5", and returns it in thousandths
// of a core. It returns an error for a negative number, for more than maxCores cores, and
// for a number that isn't a whole number of thousandths.
func ParseCores(text string) (int64, error) {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	if len(fraction) > coreDecimals {
		fraction = fraction[:coreDecimals] + strings.TrimRight(fraction[coreDecimals:], "0")
	}
	invalid := errors.Newf("%q isn't a number of cores, such as \"2\" or \"0.5\"", shorten(text))
	if hasPoint && (fraction == "" || len(fraction) > coreDecimals) {
		return 0, invalid
	}
	cores, err := strconv.ParseUint(whole, 10, nonNegativeInt64Bits)
	if err != nil {
		return 0, invalid
	}
	if cores > maxCores {
		return 0, errors.Newf("%q is too large", shorten(text))
	}
	padded := fraction + strings.Repeat("0", coreDecimals-len(fraction))
	milli, err := strconv.ParseUint(padded, 10, nonNegativeInt64Bits)
	if err != nil {
		return 0, invalid
	}
	return int64(cores)*milliPerCore + int64(milli), nil
}

// FormatCores formats thousandths of a core as a number of cores.
func FormatCores(milli int64) string {
	if milli < 0 {
		return "-" + FormatCores(-milli)
	}
	text := strconv.FormatInt(milli/milliPerCore, 10)
	remainder := milli % milliPerCore
	if remainder == 0 {
		return text
	}
	fraction := strconv.FormatInt(milliPerCore+remainder, 10)[1:]
	return text + "." + strings.TrimRight(fraction, "0")
}

// maxQuotedBytes bounds the part of an invalid value that an error repeats.
const maxQuotedBytes = 40

// shorten truncates a text to maxQuotedBytes.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
