package wire

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

var (
	now    = time.UnixMilli(1_800_000_000_000)
	limits = settings.Default().Limits
)

func validSpec() *apiv1.Spec {
	return &apiv1.Spec{
		Name: "reports", Policy: apiv1.Policy_POLICY_BATCH, Tasks: 2, RuntimeMs: 1000, DeadlineUnixMs: now.UnixMilli() + 60_000,
		Need: &apiv1.Resources{CpuMilli: 1000, MemoryMib: 512},
	}
}

func TestCheckSpecNamesTheField(t *testing.T) {
	cases := []struct {
		field  string
		change func(*apiv1.Spec)
	}{
		{"name", func(s *apiv1.Spec) { s.Name = "" }},
		{"name", func(s *apiv1.Spec) { s.Name = "a\x00b" }},
		{"name", func(s *apiv1.Spec) { s.Name = strings.Repeat("n", maxNameBytes+1) }},
		{"policy", func(s *apiv1.Spec) { s.Policy = 9 }},
		{"tasks", func(s *apiv1.Spec) { s.Tasks = 0 }},
		{"tasks", func(s *apiv1.Spec) { s.Tasks = -3 }},
		{"tasks", func(s *apiv1.Spec) { s.Tasks = 1 << 30 }},
		{"max_attempts", func(s *apiv1.Spec) { s.MaxAttempts = -1 }},
		{"need", func(s *apiv1.Spec) { s.Need = nil }},
		{"need.cpu_milli", func(s *apiv1.Spec) { s.Need.CpuMilli = 0 }},
		{"need.cpu_milli", func(s *apiv1.Spec) { s.Need.CpuMilli = 1 << 62 }},
		{"need.memory_mib", func(s *apiv1.Spec) { s.Need.MemoryMib = -1 }},
		{"need.accelerators", func(s *apiv1.Spec) { s.Need.Accelerators = -1 }},
		{"runtime_ms", func(s *apiv1.Spec) { s.RuntimeMs = 0 }},
		{"runtime_ms", func(s *apiv1.Spec) { s.RuntimeMs = 1 << 62 }},
		{"deadline_unix_ms", func(s *apiv1.Spec) { s.DeadlineUnixMs = now.UnixMilli() }},
		{"deadline_unix_ms", func(s *apiv1.Spec) { s.DeadlineUnixMs = 1 << 62 }},
		{"payload", func(s *apiv1.Spec) { s.Payload = make([]byte, int64(limits.Payload)+1) }},
		{"idempotent", func(s *apiv1.Spec) { s.Policy = apiv1.Policy_POLICY_SERVICE }},
		{"deadline_unix_ms", func(s *apiv1.Spec) { s.Policy, s.Idempotent = apiv1.Policy_POLICY_SERVICE, true }},
	}
	for _, c := range cases {
		spec := validSpec()
		c.change(spec)
		_, err := CheckSpec(spec, limits, now)
		must.True(t, fault.Is(err, fault.Invalid), must.Sprint(c.field))
		must.Eq(t, c.field, fault.From(err).Field)
	}
	_, err := CheckSpec(validSpec(), limits, now)
	must.NoError(t, err)
	_, err = CheckSpec(nil, limits, now)
	must.Eq(t, "spec", fault.From(err).Field)
}

// A caller reuses a request ID for another request. The digests must differ, so that the
// second request isn't taken for a repetition of the first.
func TestRequestDigestDependsOnContent(t *testing.T) {
	originalRequest, err := CheckRequest("r", "c", validSpec())
	must.NoError(t, err)
	changed := validSpec()
	changed.Tasks++
	changedRequest, err := CheckRequest("r", "c", changed)
	must.NoError(t, err)
	must.NotEq(t, originalRequest.Digest, changedRequest.Digest)
	_, err = CheckRequest("", "c", validSpec())
	must.Eq(t, "request_id", fault.From(err).Field)
}

// A submission of any content must either be refused with an error of kind Invalid or give
// a spec within its bounds that is the same after conversion to the API and back.
func FuzzSubmit(f *testing.F) {
	seed, err := proto.Marshal(&apiv1.SubmitRequest{RequestId: "r", Spec: validSpec()})
	must.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte{0x12, 0x02, 0x18, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request apiv1.SubmitRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		spec, err := CheckSpec(request.Spec, limits, now)
		if err != nil {
			must.True(t, fault.Is(err, fault.Invalid))
			return
		}
		must.Between(t, 1, spec.Tasks, limits.MaxTasks)
		must.Positive(t, spec.Need.CPU)
		roundTripped, err := CheckSpec(SpecToAPI(spec, ""), limits, now)
		must.NoError(t, err)
		must.Eq(t, spec, roundTripped)
	})
}
