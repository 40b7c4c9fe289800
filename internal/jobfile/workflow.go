package jobfile

import (
	"fmt"
	"math"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// rawWorkflow holds the values of a workflow file as decoded, before they are checked. A
// workflow is a job of dependent steps.
type rawWorkflow struct {
	ID      string    `toml:"id"`
	Queue   string    `toml:"queue"`
	Payload string    `toml:"payload"`
	Repeat  rawRepeat `toml:"repeat"`
	Steps   []rawStep `toml:"step"`
}

// rawRepeat is the table "repeat" of the file, which makes the job a repeated one.
type rawRepeat struct {
	First string `toml:"first"`
	Every string `toml:"every"`
	Times int64  `toml:"times"`
}

// rawStep is a step of the file. Its keys have the meaning of the fields of apiv1.Step.
type rawStep struct {
	Tasks            *int64         `toml:"tasks"`
	CPU              *tomlfile.Text `toml:"cpu"`
	Memory           *tomlfile.Text `toml:"memory"`
	Accelerators     int64          `toml:"accelerators"`
	Estimate         string         `toml:"estimate"`
	After            []int64        `toml:"after"`
	Gang             bool           `toml:"gang"`
	SameRack         bool           `toml:"same_rack"`
	Label            string         `toml:"label"`
	NearRack         string         `toml:"near_rack"`
	MaxPerWorker     int64          `toml:"max_per_worker"`
	Copies           bool           `toml:"copies"`
	LongRunning      bool           `toml:"long_running"`
	Checkpointing    bool           `toml:"checkpointing"`
	SpareProcessors  bool           `toml:"spare_processors"`
	MaxUnavailable   int64          `toml:"max_unavailable"`
	Image            string         `toml:"image"`
	LatencyObjective string         `toml:"latency_objective"`
}

// ParseWorkflow parses the file of a job of dependent steps. Errors are of kind Invalid,
// refer to the file as name, and name the line and the key.
func ParseWorkflow(name string, data []byte) (*apiv1.SubmitWorkflowRequest, error) {
	var raw rawWorkflow
	file, err := tomlfile.Decode(name, data, &raw)
	if err != nil {
		return nil, err
	}
	r := &workflowReader{file: file}
	request := &apiv1.SubmitWorkflowRequest{Id: raw.ID, Queue: raw.Queue, Payload: raw.Payload}
	switch {
	case raw.ID == "":
		return nil, file.Errorf("id", "is missing; choose one: submissions with the same id are the same job")
	case raw.Queue == "":
		return nil, file.Errorf("queue", "is missing; name a queue of the configuration")
	case len(raw.Steps) == 0:
		return nil, file.Errorf("step", "is missing; a job has at least one [[step]]")
	}
	if request.Repeat, err = r.convertRepeat(&raw.Repeat); err != nil {
		return nil, err
	}
	for i := range raw.Steps {
		step, err := r.convertStep(&raw.Steps[i], i)
		if err != nil {
			return nil, err
		}
		request.Steps = append(request.Steps, step)
	}
	return request, nil
}

// workflowReader checks the parts of a rawWorkflow and converts them to messages of the
// API.
type workflowReader struct{ file *tomlfile.File }

// convertRepeat checks and converts the times of a repeated job. It returns nil for a job
// that isn't repeated.
func (r *workflowReader) convertRepeat(raw *rawRepeat) (*apiv1.Repeat, error) {
	if *raw == (rawRepeat{}) {
		return nil, nil
	}
	first, err := time.Parse(time.RFC3339, raw.First)
	if err != nil {
		return nil, r.file.Errorf("repeat.first", "%q isn't a time such as \"2030-01-02T06:00:00Z\"", raw.First)
	}
	every, err := units.ParseDuration(raw.Every)
	if err != nil {
		return nil, r.file.Errorf("repeat.every", "%v", err)
	}
	if raw.Times < 1 || raw.Times > math.MaxInt32 {
		return nil, r.file.Errorf("repeat.times", "must be from 1 to 2147483647, is %d", raw.Times)
	}
	return &apiv1.Repeat{FirstUnixMs: first.UnixMilli(), EveryMs: every.Milliseconds(), Times: int32(raw.Times)}, nil
}

// convertStep checks and converts the step with the given index.
func (r *workflowReader) convertStep(raw *rawStep, index int) (*apiv1.Step, error) {
	key := func(name string) string { return fmt.Sprintf("step[%d].%s", index, name) }
	step := &apiv1.Step{
		Need: &apiv1.Resources{Accelerators: raw.Accelerators}, Gang: raw.Gang, SameRack: raw.SameRack, Label: raw.Label,
		NearRack: raw.NearRack, Copies: raw.Copies, LongRunning: raw.LongRunning, Checkpointing: raw.Checkpointing,
		SpareProcessors: raw.SpareProcessors, Image: raw.Image,
	}
	tasks := int64(1)
	if raw.Tasks != nil {
		tasks = *raw.Tasks
	}
	for _, count := range []struct {
		name  string
		value int64
		into  *int32
	}{
		{"tasks", tasks, &step.Tasks}, {"max_per_worker", raw.MaxPerWorker, &step.MaxPerWorker},
		{"max_unavailable", raw.MaxUnavailable, &step.MaxUnavailable},
	} {
		if count.value < 0 || count.value > maxTasks {
			return nil, r.file.Errorf(key(count.name), "must be from 0 to %d, is %d", maxTasks, count.value)
		}
		*count.into = int32(count.value)
	}
	if err := r.convertDemandAndTimes(raw, step, key); err != nil {
		return nil, err
	}
	for _, prerequisite := range raw.After {
		if prerequisite < 0 || prerequisite >= int64(index) {
			return nil, r.file.Errorf(key("after"), "%d isn't an earlier step; steps count from 0", prerequisite)
		}
		step.After = append(step.After, int32(prerequisite))
	}
	return step, nil
}

// convertDemandAndTimes checks and converts the resources that a task of the step needs,
// its estimated run time and its latency objective. key returns the path of a key of the
// step.
func (r *workflowReader) convertDemandAndTimes(raw *rawStep, step *apiv1.Step, key func(string) string) (err error) {
	if raw.CPU != nil {
		if step.Need.CpuMilli, err = units.ParseCores(string(*raw.CPU)); err != nil {
			return r.file.Errorf(key("cpu"), "%v", err)
		}
	}
	if raw.Memory != nil {
		if step.Need.MemoryMib, err = units.ParseMiB(string(*raw.Memory)); err != nil {
			return r.file.Errorf(key("memory"), "%v", err)
		}
	}
	for _, span := range []struct {
		name, text string
		into       *int64
	}{{"estimate", raw.Estimate, &step.EstimateMs}, {"latency_objective", raw.LatencyObjective, &step.LatencyObjectiveMs}} {
		if span.text == "" {
			continue
		}
		d, err := units.ParseDuration(span.text)
		if err != nil {
			return r.file.Errorf(key(span.name), "%v", err)
		}
		*span.into = d.Milliseconds()
	}
	if step.EstimateMs == 0 && !step.LongRunning {
		return r.file.Errorf(key("estimate"), "is missing; state how long one task runs, such as \"2s\", or long_running = true")
	}
	return nil
}
