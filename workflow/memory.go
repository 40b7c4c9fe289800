package workflow

// Estimates of the memory that parts of a job take, in bytes.
const (
	jobBytes        = 1024
	stepBytes       = 320
	stepStateBytes  = 96
	taskBytes       = 96
	dependencyBytes = 8
)

// MemoryBytes estimates the memory that the state takes for a job with this submission, in bytes. A job that has ended
// takes less, since its payload is dropped.
func (s *Submission) MemoryBytes() int64 {
	occurrences := int64(max(s.Schedule.Times, 1))
	total := int64(jobBytes + len(s.Payload))
	for i := range s.Steps {
		step := &s.Steps[i]
		total += int64(stepBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + dependencyBytes*len(step.DependsOn))
		total += occurrences * (stepStateBytes + taskBytes*int64(step.Count))
	}
	return total
}
