package jobfile

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

const validWorkflow = `id = "reports-7"
queue = "reports"
payload = "hall 3"

[repeat]
first = "2030-01-02T06:00:00Z"
every = "5m"
times = 3

[[step]]
tasks = 4
cpu = "0.5"
memory = "256MiB"
estimate = "900ms"
near_rack = "r1-3"
copies = true

[[step]]
after = [0]
gang = true
same_rack = true
cpu = 2
estimate = "7s"
checkpointing = true
label = "gpu"
accelerators = 1
max_per_worker = 2
`

func TestParseWorkflowFillsRequestFromFile(t *testing.T) {
	got, err := ParseWorkflow("reports.toml", []byte(validWorkflow))
	must.NoError(t, err)
	want := &apiv1.SubmitWorkflowRequest{
		Id: "reports-7", Queue: "reports", Payload: "hall 3",
		Repeat: &apiv1.Repeat{FirstUnixMs: time.Date(2030, 1, 2, 6, 0, 0, 0, time.UTC).UnixMilli(), EveryMs: 300_000, Times: 3},
		Steps: []*apiv1.Step{
			{Tasks: 4, Need: &apiv1.Resources{CpuMilli: 500, MemoryMib: 256}, EstimateMs: 900, NearRack: "r1-3", Copies: true},
			{Tasks: 1, Need: &apiv1.Resources{CpuMilli: 2000, Accelerators: 1}, EstimateMs: 7000, After: []int32{0}, Gang: true,
				SameRack: true, Checkpointing: true, Label: "gpu", MaxPerWorker: 2},
		},
	}
	must.True(t, proto.Equal(want, got), must.Sprint(got))
}

func TestParseWorkflowErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ original, replacement, want string }{
		{`id = "reports-7"`, ``, "id"},
		{`queue = "reports"`, ``, "queue"},
		{`after = [0]`, `after = [1]`, "line 19"},
		{`estimate = "900ms"`, `estimate = "900"`, "line 14"},
		{`estimate = "900ms"`, ``, "estimate"},
		{`tasks = 4`, `tasks = -1`, "line 11"},
		{`cpu = "0.5"`, `cpu = "x"`, "cpu"},
		{`first = "2030-01-02T06:00:00Z"`, `first = "soon"`, "repeat.first"},
		{`times = 3`, `times = 0`, "repeat.times"},
		{`copies = true`, `copys = true`, "copies"},
	} {
		_, err := ParseWorkflow("reports.toml", []byte(strings.Replace(validWorkflow, c.original, c.replacement, 1)))
		must.ErrorContains(t, err, c.want, must.Sprint(c.replacement))
		must.Eq(t, fault.Invalid, fault.KindOf(err))
	}
}
