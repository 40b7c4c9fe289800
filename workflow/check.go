package workflow

import (
	"fmt"
	"unicode/utf8"
)

// MaxPayloadBytes, MaxTasks, MaxSteps and MaxOccurrences are the limits of a job. MaxPayloadBytes is in
// bytes. MaxTasks follows from the memory of an instance: 100,000 tasks take 6 MB.
const (
	MaxPayloadBytes = 4000
	MaxTasks        = 100_000
	MaxSteps        = 1000
	MaxOccurrences  = 10_000
)

// Field names a part of a submission.
type Field string

// Fields of a submission, as the API names them.
const (
	FieldPayload      Field = "payload"
	FieldSteps        Field = "steps"
	FieldRepeatTimes  Field = "repeat.times"
	FieldRepeatEvery  Field = "repeat.every"
	FieldTasks        Field = "tasks"
	FieldNeed         Field = "need"
	FieldEstimate     Field = "estimate"
	FieldMaxPerWorker Field = "max_per_worker"
	FieldAfter        Field = "after"
)

// CheckError says which field of a submission is invalid and why.
type CheckError struct {
	Field   Field
	Message string
}

// Error returns field and message.
func (e *CheckError) Error() string { return string(e.Field) + ": " + e.Message }

// checkErrorf returns a *CheckError with a formatted message.
func checkErrorf(field Field, format string, args ...any) error {
	return &CheckError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// Check returns a *CheckError for the first field for which a job can't be accepted, nil if
// there is none.
func Check(payload string, steps []Step, schedule Schedule) error {
	switch {
	case len(payload) > MaxPayloadBytes:
		return checkErrorf(FieldPayload, "%d bytes, the limit is %d", len(payload), MaxPayloadBytes)
	case len(steps) == 0 || len(steps) > MaxSteps:
		return checkErrorf(FieldSteps, "%d steps, 1 to %d are allowed", len(steps), MaxSteps)
	case schedule.Times < 0 || schedule.Times > MaxOccurrences:
		return checkErrorf(FieldRepeatTimes, "%d occurrences, 0 to %d are allowed", schedule.Times, MaxOccurrences)
	case schedule.EveryMS < 0 || schedule.FirstAtMS < 0:
		return checkErrorf(FieldRepeatEvery, "the start time and the interval may not be negative")
	}
	tasks := 0
	for i := range steps {
		if err := steps[i].check(i); err != nil {
			return err
		}
		tasks += steps[i].Count
	}
	if tasks > MaxTasks || tasks*max(schedule.Times, 1) > MaxTasks {
		return checkErrorf(FieldTasks, "more than %d tasks in all steps and occurrences", MaxTasks)
	}
	return nil
}

// check returns a *CheckError if the step with this index is invalid.
func (s *Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return checkErrorf(FieldTasks, "%d tasks in step %d, 1 to %d are allowed", s.Count, index, MaxTasks)
	case s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return checkErrorf(FieldNeed, "step %d has a negative resource demand", index)
	case s.EstimateMS < 0:
		return checkErrorf(FieldEstimate, "step %d has a negative run time estimate", index)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyObjectiveMS < 0:
		return checkErrorf(FieldMaxPerWorker, "step %d has a negative limit of tasks per worker or of unavailable tasks, or a negative latency objective", index)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return checkErrorf(FieldAfter, "step %d depends on %d, which isn't an earlier step", index, dependency)
		}
	}
	return nil
}

// Fields of a maintenance wave.
const (
	FieldWaveID       Field = "id"
	FieldWaveMachines Field = "machines"
	FieldWaveDuration Field = "duration"
	FieldWaveMaxDown  Field = "max_down"
)

// CheckWave returns why a maintenance wave is invalid, nil if it is valid.
func CheckWave(w *Wave) *CheckError {
	switch {
	case w.ID <= 0:
		return &CheckError{FieldWaveID, "the ID is missing or not above 0"}
	case len(w.Machines) == 0 || len(w.Machines) > MaxTasks:
		return &CheckError{FieldWaveMachines, fmt.Sprintf("%d machines, 1 to %d are allowed", len(w.Machines), MaxTasks)}
	case w.DurationMS <= 0:
		return &CheckError{FieldWaveDuration, fmt.Sprintf("%d ms isn't above 0", w.DurationMS)}
	case w.MaxDown < 1:
		return &CheckError{FieldWaveMaxDown, fmt.Sprintf("%d isn't above 0", w.MaxDown)}
	}
	return nil
}

// Limits of a worker's announcement. Sums of the capacities of all workers fit an integer.
const (
	MaxWorkerTextBytes = 4096
	MaxWorkerLabels    = 1000
	MaxCapacity        = 1 << 40
)

// Fields of a worker's announcement.
const (
	FieldWorkerID       Field = "id"
	FieldWorkerText     Field = "text"
	FieldWorkerLabels   Field = "labels"
	FieldWorkerCapacity Field = "capacity"
)

// CheckWorker returns why the announcement of a worker is invalid, nil if it is valid.
func CheckWorker(w *Worker) *CheckError {
	if w.ID == "" || !isWorkerText(w.ID) || !isWorkerText(w.Name) {
		return &CheckError{FieldWorkerID, fmt.Sprintf("%q isn't UTF-8 text of 1 to %d bytes", w.ID, MaxWorkerTextBytes)}
	}
	for _, text := range append([]string{w.Service, w.Address, w.DataCentre, w.Rack}, w.Labels...) {
		if !isWorkerText(text) {
			return &CheckError{FieldWorkerText, fmt.Sprintf("%q isn't UTF-8 text of at most %d bytes", text, MaxWorkerTextBytes)}
		}
	}
	if len(w.Labels) > MaxWorkerLabels {
		return &CheckError{FieldWorkerLabels, fmt.Sprintf("%d labels, at most %d are allowed", len(w.Labels), MaxWorkerLabels)}
	}
	for _, amount := range []int64{w.Capacity.MilliCPU, w.Capacity.MemoryMB, w.Capacity.Accelerators} {
		if amount < 0 || amount > MaxCapacity {
			return &CheckError{FieldWorkerCapacity, fmt.Sprintf("%d isn't from 0 to %d", amount, int64(MaxCapacity))}
		}
	}
	return nil
}

func isWorkerText(text string) bool { return len(text) <= MaxWorkerTextBytes && utf8.ValidString(text) }

// MaxIDBytes bounds the ID of a job.
const MaxIDBytes = 256

// MaxServices is how many services a configuration may have.
const MaxServices = 10_000
