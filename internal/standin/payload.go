package standin

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// Payload holds the keys of a task's payload that a stand-in worker reads. The
// payload is JSON or TOML; unknown keys are ignored.
type Payload struct {
	// RuntimeMS is the true run time in milliseconds. If absent, the run time is
	// derived from the declared one, see WorkersConfig.RuntimeLow.
	RuntimeMS *int64 `json:"runtime_ms" toml:"runtime_ms"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail" toml:"fail"`
	// PeakCPU is the true peak usage in cores; if absent, the declared demand.
	PeakCPU *float64 `json:"peak_cpu" toml:"peak_cpu"`
	// PeakMemoryMiB is the true peak usage in MiB; if absent, the declared demand.
	PeakMemoryMiB *int64 `json:"peak_memory_mib" toml:"peak_memory_mib"`
	// NonIdempotent tells the ledger that the task must start at most once.
	NonIdempotent bool `json:"once" toml:"once"`
}

// ParsePayload parses a payload. Data that is neither JSON nor TOML gives an empty
// Payload.
func ParsePayload(payload []byte) Payload {
	var p Payload
	if len(payload) == 0 {
		return p
	}
	if json.Unmarshal(payload, &p) == nil {
		return p
	}
	p = Payload{}
	if toml.Unmarshal(payload, &p) != nil {
		return Payload{}
	}
	return p
}

// runtime returns the true run time of an attempt: the payload's, or else the
// declared one times a factor between low and high that depends only on the seed
// and the attempt. Zero means that the task runs until it is stopped.
func (p Payload) runtime(start *apiv1.StartTask, seed uint64, low, high float64) time.Duration {
	if p.RuntimeMS != nil {
		return time.Duration(*p.RuntimeMS) * time.Millisecond
	}
	declared := time.Duration(start.DeclaredRuntimeMs) * time.Millisecond
	factor := low + (high-low)*fraction(seed, start.Attempt)
	return time.Duration(float64(declared) * factor)
}

// peak returns the true peak usage of an attempt: the payload's, or else the demand.
func (p Payload) peak(demand *apiv1.Resources) *apiv1.Resources {
	usage := &apiv1.Resources{
		CpuMilli:     demand.GetCpuMilli(),
		MemoryMib:    demand.GetMemoryMib(),
		Accelerators: demand.GetAccelerators(),
	}
	if p.PeakCPU != nil {
		usage.CpuMilli = int64(*p.PeakCPU * 1000)
	}
	if p.PeakMemoryMiB != nil {
		usage.MemoryMib = *p.PeakMemoryMiB
	}
	return usage
}

// hashBits and float64Bits are the number of bits of a hash and the precision of a
// float64 in bits.
const (
	hashBits    = 64
	float64Bits = 53
)

// fraction maps a seed and an attempt to a pseudorandom number in [0, 1). It uses the
// highest 53 bits of a hash, the precision of a float64.
func fraction(seed uint64, ref *apiv1.AttemptRef) float64 {
	// The hash covers the seed, the task, the attempt and the job.
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	binary.LittleEndian.PutUint32(key[8:], uint32(ref.GetTask()))
	binary.LittleEndian.PutUint32(key[12:], uint32(ref.GetAttempt()))
	h := xxhash.New()
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(ref.GetJob())
	return float64(h.Sum64()>>(hashBits-float64Bits)) / (1 << float64Bits)
}
