// Package jobfile parses the TOML files in which users describe a job.
package jobfile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// Bounds of one job.
const (
	maxTasks        = 100_000
	maxAccelerators = 100_000
	maxAttempts     = 100
	// maxDuration bounds run times and the time until a deadline. It keeps sums of
	// them far from overflow.
	maxDuration = 366 * 24 * time.Hour
)

// rawJob holds the values of a job file as decoded, before they are checked.
type rawJob struct {
	Name         string         `toml:"name"`
	Policy       string         `toml:"policy"`
	Tasks        *int64         `toml:"tasks"`
	CPU          *tomlfile.Text `toml:"cpu"`
	Memory       *tomlfile.Text `toml:"memory"`
	Accelerators int64          `toml:"accelerators"`
	Runtime      *tomlfile.Text `toml:"runtime"`
	Deadline     *deadlineText  `toml:"deadline"`
	Idempotent   *bool          `toml:"idempotent"`
	Urgent       bool           `toml:"urgent"`
	DataCentre   string         `toml:"data_centre"`
	Payload      string         `toml:"payload"`
	MaxAttempts  int64          `toml:"max_attempts"`
}

// deadlineText is the text of a deadline. The file may hold it as a string or as a TOML
// date-time without quotes.
type deadlineText string

// UnmarshalTOML stores the deadline as text.
func (d *deadlineText) UnmarshalTOML(value any) error {
	switch v := value.(type) {
	case string:
		*d = deadlineText(v)
	case time.Time:
		*d = deadlineText(v.Format(time.RFC3339Nano))
	default:
		*d = deadlineText(fmt.Sprint(v))
	}
	return nil
}

// policies maps the values of the key "policy" to those of the API.
var policies = map[string]apiv1.Policy{
	"service": apiv1.Policy_POLICY_SERVICE,
	"batch":   apiv1.Policy_POLICY_BATCH,
	"gang":    apiv1.Policy_POLICY_GANG,
}

// Parse parses one job file. Relative deadlines count from now. Errors are of kind Invalid
// and name the line and the key.
func Parse(data []byte, now time.Time) (*apiv1.Spec, error) {
	return ParseNamed("job file", data, now)
}

// ParseNamed is Parse with errors that refer to the file as name.
func ParseNamed(name string, data []byte, now time.Time) (*apiv1.Spec, error) {
	return ParseWithDeadline(name, data, "", now)
}

// ParseWithDeadline is ParseNamed, except that deadline, in the format of a job file,
// replaces the file's deadline unless deadline is empty.
func ParseWithDeadline(name string, data []byte, deadline string, now time.Time) (*apiv1.Spec, error) {
	var raw rawJob
	file, err := tomlfile.Decode(name, data, &raw)
	if err != nil {
		return nil, err
	}
	if deadline != "" {
		raw.Deadline = (*deadlineText)(&deadline)
	}
	r := jobReader{file: file, raw: &raw, spec: &apiv1.Spec{Need: &apiv1.Resources{}}}
	for _, convert := range []func() error{r.convertBasicFields, r.requireIdempotentService, r.convertCounts, r.convertDemand, r.convertTimes(now)} {
		if err := convert(); err != nil {
			return nil, err
		}
	}
	return r.spec, nil
}

// jobReader checks a rawJob and converts it to a Spec.
type jobReader struct {
	file *tomlfile.File
	raw  *rawJob
	spec *apiv1.Spec
}

// convertBasicFields checks and converts the name, policy, data centre, flags and payload.
func (r *jobReader) convertBasicFields() error {
	if !settings.NamePattern.MatchString(r.raw.Name) {
		return r.file.Errorf("name", "%q isn't a name (letters, digits, '_', '.', '-', at most 63)", r.raw.Name)
	}
	policy, ok := policies[r.raw.Policy]
	if !ok {
		return r.file.Errorf("policy", "%q is none of \"service\", \"batch\", \"gang\"", r.raw.Policy)
	}
	if r.raw.DataCentre != "" && !settings.NamePattern.MatchString(r.raw.DataCentre) {
		return r.file.Errorf("data_centre", "%q isn't a name", r.raw.DataCentre)
	}
	r.spec.Name = r.raw.Name
	r.spec.Policy = policy
	r.spec.DataCentre = r.raw.DataCentre
	r.spec.Idempotent = r.raw.Idempotent != nil && *r.raw.Idempotent
	r.spec.Urgent = r.raw.Urgent
	if r.raw.Payload != "" {
		r.spec.Payload = []byte(r.raw.Payload)
	}
	return nil
}

// requireIdempotentService marks a service as idempotent and rejects a file that declares
// a service non-idempotent. The tasks of a service are restarted on other workers when a
// worker is lost.
func (r *jobReader) requireIdempotentService() error {
	if r.spec.Policy != apiv1.Policy_POLICY_SERVICE {
		return nil
	}
	if r.raw.Idempotent != nil && !*r.raw.Idempotent {
		return r.file.Errorf("idempotent", "tasks of a service are restarted when a worker is lost, so a service is always idempotent")
	}
	r.spec.Idempotent = true
	return nil
}

// convertCounts checks and converts the numbers of tasks, accelerators and attempts.
func (r *jobReader) convertCounts() error {
	tasks := int64(1)
	if r.raw.Tasks != nil {
		tasks = *r.raw.Tasks
	}
	counts := []struct {
		key                     string
		value, minimum, maximum int64
	}{
		{"tasks", tasks, 1, maxTasks},
		{"accelerators", r.raw.Accelerators, 0, maxAccelerators},
		{"max_attempts", r.raw.MaxAttempts, 0, maxAttempts},
	}
	for _, c := range counts {
		if c.value < c.minimum || c.value > c.maximum {
			return r.file.Errorf(c.key, "must be from %d to %d, is %d", c.minimum, c.maximum, c.value)
		}
	}
	if r.raw.MaxAttempts > 1 && !r.spec.Idempotent {
		return r.file.Errorf("max_attempts", "only work with idempotent = true may have more than one attempt")
	}
	r.spec.Tasks = int32(tasks)
	r.spec.Need.Accelerators = r.raw.Accelerators
	r.spec.MaxAttempts = int32(r.raw.MaxAttempts)
	return nil
}

// convertDemand checks and converts the processor and memory demand of one task.
func (r *jobReader) convertDemand() error {
	cpu, err := r.parseAmount("cpu", r.raw.CPU, units.ParseCores)
	if err != nil {
		return err
	}
	memory, err := r.parseAmount("memory", r.raw.Memory, units.ParseMiB)
	if err != nil {
		return err
	}
	if cpu == 0 && memory == 0 && r.raw.Accelerators == 0 {
		return r.file.Errorf("cpu", "the job needs nothing; state the cpu, memory or accelerators of one task")
	}
	r.spec.Need.CpuMilli = cpu
	r.spec.Need.MemoryMib = memory
	return nil
}

// parseAmount parses the value of a key with parse. It returns 0 when the key is missing.
func (r *jobReader) parseAmount(key string, text *tomlfile.Text, parse func(string) (int64, error)) (int64, error) {
	if text == nil {
		return 0, nil
	}
	amount, err := parse(string(*text))
	if err != nil {
		return 0, r.file.Errorf(key, "%v", err)
	}
	return amount, nil
}

// convertTimes returns a function that checks and converts the run time and the deadline,
// which may be relative to now.
func (r *jobReader) convertTimes(now time.Time) func() error {
	return func() error {
		if r.spec.Policy == apiv1.Policy_POLICY_SERVICE {
			return r.rejectTimes()
		}
		if r.raw.Runtime == nil {
			return r.file.Errorf("runtime", "is missing; state how long one task runs, such as \"2s\"")
		}
		if r.raw.Deadline == nil {
			return r.file.Errorf("deadline", "is missing; state \"+45s\" or a time such as \"2030-01-02T06:00:00Z\"")
		}
		runtime, err := units.ParseDuration(string(*r.raw.Runtime))
		if err != nil {
			return r.file.Errorf("runtime", "%v", err)
		}
		if runtime < time.Millisecond || runtime > maxDuration {
			return r.file.Errorf("runtime", "must be from 1ms to %s, is %s", maxDuration, runtime)
		}
		deadline, err := ParseDeadline(string(*r.raw.Deadline), now)
		if err != nil {
			return r.file.Errorf("deadline", "%v", err)
		}
		r.spec.RuntimeMs = runtime.Milliseconds()
		r.spec.DeadlineUnixMs = deadline.UnixMilli()
		return nil
	}
}

// rejectTimes returns an error when a service has a run time or a deadline.
func (r *jobReader) rejectTimes() error {
	if r.raw.Runtime != nil {
		return r.file.Errorf("runtime", "a service runs until it is stopped and has no run time")
	}
	if r.raw.Deadline != nil {
		return r.file.Errorf("deadline", "a service runs until it is stopped and has no deadline")
	}
	return nil
}

// ParseDeadline parses a deadline: a time span from now, such as "+45s", or an RFC 3339
// time. It returns an error for a time in the past or more than a year ahead.
func ParseDeadline(text string, now time.Time) (time.Time, error) {
	if span, ok := strings.CutPrefix(text, "+"); ok {
		d, err := units.ParseDuration(span)
		if err != nil {
			return time.Time{}, err
		}
		// The limit of 2*maxDuration keeps now.Add from overflowing, and checkDeadline
		// still rejects a deadline that far ahead.
		return checkDeadline(text, now.Add(min(d, 2*maxDuration)), now)
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, deadlineFormatError(text)
	}
	return checkDeadline(text, deadline, now)
}

// checkDeadline returns an error unless the deadline is after now and within maxDuration.
func checkDeadline(text string, deadline, now time.Time) (time.Time, error) {
	switch ahead := deadline.Sub(now); {
	case ahead <= 0:
		return time.Time{}, deadlineError(quoted(text) + " has passed already")
	case ahead > maxDuration:
		return time.Time{}, deadlineError(quoted(text) + " is more than a year ahead")
	default:
		return deadline, nil
	}
}

// deadlineError is the error of an invalid deadline.
type deadlineError string

func (e deadlineError) Error() string { return string(e) }

func deadlineFormatError(text string) error {
	return deadlineError(quoted(text) + " is neither a span such as \"+45s\" nor a time such as \"2030-01-02T06:00:00Z\"")
}

// maxQuotedBytes bounds the part of an invalid value that an error repeats.
const maxQuotedBytes = 40

func quoted(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}
