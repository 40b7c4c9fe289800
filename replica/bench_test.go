package replica

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// benchIncarnation is a wall clock in milliseconds, as in production, so that
// incarnations and terms have their usual size on the wire.
const benchIncarnation = 1_780_000_000_000

const (
	// benchElectionRounds is the maximum number of rounds of ticks that the election of a
	// leader may take.
	benchElectionRounds = 200
	benchCommandBytes   = 60
	// benchCompactInterval is the number of entries between compactions.
	benchCompactInterval = 1000
)

// benchGroup returns the leader of a group in memory, and all members by ID.
func benchGroup(b *testing.B, size int) (*Core, map[string]*Core) {
	var members []Member
	for i := range size {
		members = append(members, Member{ID: fmt.Sprintf("n%d", i)})
	}
	cores := map[string]*Core{}
	for _, m := range members {
		c, err := New(Config{ID: m.ID, Incarnation: benchIncarnation, Members: members}, StoredState{})
		if err != nil {
			b.Fatal(err)
		}
		cores[m.ID] = c
	}
	for range benchElectionRounds {
		for _, m := range members {
			cores[m.ID].Tick()
			if c := cores[m.ID]; c.Status().CanDecide {
				return c, cores
			}
		}
		benchProcessReady(cores)
	}
	b.Fatal("no leader")
	return nil, nil
}

// benchProcessReady processes all Readys and returns the number of bytes sent.
func benchProcessReady(cores map[string]*Core) int {
	bytes := 0
	for busy := true; busy; {
		busy = false
		for _, c := range cores {
			if !c.HasReady() {
				continue
			}
			busy = true
			r := c.Ready()
			c.Advance(r)
			for _, m := range r.Messages {
				bytes += len(mustMarshal(m))
				_ = cores[m.To].Step(m)
			}
		}
	}
	return bytes
}

func mustMarshal(m Message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// BenchmarkCommit measures the committed entries per second of a group whose members all
// run on one goroutine. Messages are encoded but not sent over a network.
func BenchmarkCommit(b *testing.B) {
	command := make([]byte, benchCommandBytes)
	for _, size := range []int{1, 3, 5} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/batch=%d", size, batch), func(b *testing.B) {
				leader, cores := benchGroup(b, size)
				proposals := make([][]byte, batch)
				for i := range proposals {
					proposals[i] = command
				}
				b.ReportAllocs()
				start, sent := leader.commit, 0
				b.ResetTimer()
				for range b.N {
					if _, _, err := leader.Propose(proposals...); err != nil {
						b.Fatal(err)
					}
					sent += benchProcessReady(cores)
					if leader.commit > leader.snapshot.Index+benchCompactInterval {
						benchCompact(cores)
					}
				}
				committed := float64(leader.commit - start)
				b.ReportMetric(committed/b.Elapsed().Seconds(), "entries/s")
				b.ReportMetric(float64(sent)/committed, "wire-B/entry")
			})
		}
	}
}

func benchCompact(cores map[string]*Core) {
	for _, c := range cores {
		c.Compact(Snapshot{Index: c.applied})
	}
}

// BenchmarkHeartbeat measures the encoded bytes of one idle heartbeat round of a
// leader, replies included, without transport overhead.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			leader, cores := benchGroup(b, size)
			benchProcessReady(cores)
			sent := 0
			for range b.N {
				leader.leaderState.heartbeatDue = true
				sent += benchProcessReady(cores)
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(size-1), "wire-B/peer")
		})
	}
}
