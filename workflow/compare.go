package workflow

import (
	"cmp"
	"strings"
)

// CompareTasks orders tasks by job, occurrence, step and index.
func CompareTasks(a, b TaskKey) int {
	return cmp.Or(CompareSteps(a.StepKey, b.StepKey), cmp.Compare(a.Index, b.Index))
}

// CompareSteps orders steps by job, occurrence and step.
func CompareSteps(a, b StepKey) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}
