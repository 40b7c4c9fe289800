package workflow

import "fmt"

// Bounds of a job. That of the tasks comes from the memory of an instance:
// 100,000 of them take 6 MB.
const (
	MaxPayload     = 4000
	MaxTasks       = 100_000
	MaxSteps       = 1000
	MaxOccurrences = 10_000
)

// Field names a part of a submission.
type Field string

// Fields of a submission, as the product's own interface names them.
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

// CheckError says what is wrong with which field of a submission.
type CheckError struct {
	Field   Field
	Message string
}

// Error returns field and message.
func (e *CheckError) Error() string { return string(e.Field) + ": " + e.Message }

func checkErrorf(field Field, format string, args ...any) error {
	return &CheckError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// Check returns a *CheckError when a job can't be accepted as it is.
func Check(payload string, steps []Step, schedule Schedule) error {
	switch {
	case len(payload) > MaxPayload:
		return checkErrorf(FieldPayload, "%d bytes, the limit is %d", len(payload), MaxPayload)
	case len(steps) == 0 || len(steps) > MaxSteps:
		return checkErrorf(FieldSteps, "%d steps, 1 to %d are allowed", len(steps), MaxSteps)
	case schedule.Times < 0 || schedule.Times > MaxOccurrences:
		return checkErrorf(FieldRepeatTimes, "%d, 0 to %d are allowed", schedule.Times, MaxOccurrences)
	case schedule.EveryMS < 0 || schedule.FirstAtMS < 0:
		return checkErrorf(FieldRepeatEvery, "times may not be negative")
	}
	tasks := 0
	for i := range steps {
		if err := steps[i].check(i); err != nil {
			return err
		}
		tasks += steps[i].Count
	}
	if tasks > MaxTasks || tasks*max(schedule.Times, 1) > MaxTasks {
		return checkErrorf(FieldTasks, "more than %d tasks", MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return checkErrorf(FieldTasks, "%d tasks in step %d, 1 to %d are allowed", s.Count, index, MaxTasks)
	case s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0:
		return checkErrorf(FieldNeed, "step %d has a negative size", index)
	case s.EstimateMS < 0:
		return checkErrorf(FieldEstimate, "step %d has a negative estimate", index)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyObjectiveMS < 0:
		return checkErrorf(FieldMaxPerWorker, "step %d has a negative bound", index)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return checkErrorf(FieldAfter, "step %d depends on %d, which isn't an earlier step", index, before)
		}
	}
	return nil
}

// Fields of a wave of maintenance.
const (
	FieldWaveID       Field = "id"
	FieldWaveMachines Field = "machines"
	FieldWaveDuration Field = "duration"
	FieldWaveMaxDown  Field = "max_down"
)

// CheckWave says what is wrong with a wave, nil when nothing is.
func CheckWave(w *Wave) *CheckError {
	switch {
	case w.ID <= 0:
		return &CheckError{FieldWaveID, "missing, or not above 0"}
	case len(w.Machines) == 0 || len(w.Machines) > MaxTasks:
		return &CheckError{FieldWaveMachines, fmt.Sprintf("%d machines, 1 to %d are allowed", len(w.Machines), MaxTasks)}
	case w.DurationMS <= 0:
		return &CheckError{FieldWaveDuration, fmt.Sprintf("%d ms isn't above 0", w.DurationMS)}
	case w.MaxDown < 1:
		return &CheckError{FieldWaveMaxDown, fmt.Sprintf("%d isn't above 0", w.MaxDown)}
	}
	return nil
}
