package placement

import "fmt"

// invariant panics if holds is false. It guards rules that only a defect in
// this package can break: continuing would start tasks that were never checked.
func invariant(holds bool, format string, args ...any) {
	if holds {
		return
	}
	panic("placement: " + fmt.Sprintf(format, args...))
}
