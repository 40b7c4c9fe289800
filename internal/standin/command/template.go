package command

import (
	"os"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/jobfile"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// readTemplate reads a job file as a template of submissions. A deadline in the file,
// relative or absolute, is converted to the duration from the call of readTemplate until
// the deadline. That duration becomes Arrival.Deadline, which counts from each
// submission.
func readTemplate(path string) (standin.Arrival, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return standin.Arrival{}, err
	}
	now := time.Now()
	spec, err := jobfile.ParseNamed(path, text, now)
	if err != nil {
		return standin.Arrival{}, err
	}
	arrival := standin.Arrival{Spec: spec}
	if spec.DeadlineUnixMs > 0 {
		arrival.Deadline = time.UnixMilli(spec.DeadlineUnixMs).Sub(now)
	}
	return arrival, nil
}
