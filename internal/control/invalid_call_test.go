package control

import (
	"context"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a call of another process that ends every member: an instance checks what its callers send, and the
// leader committed whatever an instance sent.
func TestInvalidSubmissionIsRefused(t *testing.T) {
	cluster := newTestCluster(t, nil)
	submit := func(id string, step workflow.Step, schedule workflow.Schedule) error {
		_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
			Address: JobAddress{Host: "h", Path: "/q/" + id, ID: id}, Payload: "payload", Steps: []workflow.Step{step}, Schedule: schedule,
		})
		return err
	}
	negative := oneTask
	negative.Count = -1
	dangling := oneTask
	dangling.DependsOn = []int{7}
	for name, err := range map[string]error{
		"negative number of tasks":       submit("a", negative, workflow.Schedule{}),
		"unknown dependency":             submit("a", dangling, workflow.Schedule{}),
		"negative number of occurrences": submit("a", oneTask, workflow.Schedule{Times: -1}),
		"an ID that isn't text":          submit("a\xff", oneTask, workflow.Schedule{}),
		"a long ID":                      submit(strings.Repeat("a", workflow.MaxIDBytes+1), oneTask, workflow.Schedule{}),
	} {
		must.Error(t, err, must.Sprint(name))
		must.Eq(t, fault.Invalid, fault.KindOf(err), must.Sprint(name))
	}
	must.NoError(t, submit("a", oneTask, workflow.Schedule{}))
}

// Guards against a wave of another process that no client of an instance could start.
func TestInvalidWaveIsRefused(t *testing.T) {
	cluster := newTestCluster(t, nil)
	_, err := cluster.controller.StartWave(context.Background(), &WaveCall{Wave: workflow.Wave{ID: 3, Machines: []string{"m"}, DurationMS: 1000, MaxDown: -1}})
	must.Error(t, err)
	must.Eq(t, fault.Invalid, fault.KindOf(err))
}

// Guards against a configuration that takes the memory of every process that holds it: it had any number of services.
func TestConfigurationOfTooManyServicesIsRefused(t *testing.T) {
	cluster := newTestCluster(t, nil)
	configure := func(version uint64, services int) error {
		document := workflow.Document{Version: version, Source: []byte("{}"), Services: make([]workflow.Service, services)}
		_, err := cluster.controller.Configure(context.Background(), &ConfigureCall{Document: document})
		return err
	}
	must.NoError(t, configure(2, workflow.MaxServices))
	refused := configure(3, workflow.MaxServices+1)
	must.Error(t, refused)
	must.Eq(t, fault.Invalid, fault.KindOf(refused))
}
