package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// excessGrace is how long a minion waits before it counts requests above its
// slots as a violation: one whose caller has given up has freed its slot, but
// the minion learns of that a moment later.
const excessGrace = 50 * time.Millisecond

// flight is one request in progress.
type flight struct {
	// givenUp says that the caller went away before the answer.
	givenUp bool
}

func countOf(have int, what string, limit int) string {
	return fmt.Sprintf("%d %s at once, the limit is %d", have, what, limit)
}

// ServeHTTP takes one request, plays its faults and answers it in a form that
// the caller can check.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, faults := m.enter()
	defer m.leave(f)
	work := m.workTime(r) + faults.Slow
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.giveUp(m)
		return
	}
	query := r.URL.Query()
	nonce := query.Get(paramNonce)
	if query.Get(paramOnce) != "" {
		m.once.add(nonce)
	}
	switch {
	case faults.Fail:
		http.Error(w, "fails on purpose", http.StatusInternalServerError)
		return
	case faults.Hang:
		<-r.Context().Done()
	default:
		wait.For(r.Context(), work)
	}
	if r.Context().Err() != nil {
		f.giveUp(m)
		return
	}
	size, _ := strconv.Atoi(query.Get(paramSize))
	writeAnswer(w, newAnswer(nonce, body, size), faults.Cut)
}

// writeAnswer writes the answer; when it is to be cut, only half of the body.
func writeAnswer(w http.ResponseWriter, answer []byte, cut bool) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if !cut {
		_, _ = w.Write(answer)
		return
	}
	_, _ = w.Write(answer[:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (m *Minion) workTime(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get(paramWork)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return m.cfg.Work
}

// enter counts a request in and checks it against the slots and the leave.
func (m *Minion) enter() (*flight, MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &flight{}
	m.flights[f] = struct{}{}
	m.stats.Requests++
	m.stats.MaxInProgress = max(m.stats.MaxInProgress, len(m.flights))
	if len(m.flights) > m.cfg.Slots {
		m.checkLater()
	}
	if late := time.Since(m.leftAt); !m.leftAt.IsZero() && late > m.cfg.LeaveGrace {
		m.cfg.Ledger.Add(LateRequest, m.id, fmt.Sprintf("new request %s after the leave", late.Round(time.Millisecond)))
	}
	return f, m.faults
}

// checkLater judges the requests that are now above the slots once it is known
// whose caller had given up by then.
func (m *Minion) checkLater() {
	together := make([]*flight, 0, len(m.flights))
	for f := range m.flights {
		together = append(together, f)
	}
	time.AfterFunc(excessGrace, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		wanted := 0
		for _, f := range together {
			if !f.givenUp {
				wanted++
			}
		}
		if wanted > m.cfg.Slots {
			m.cfg.Ledger.Add(SlotsExceeded, m.id, countOf(wanted, "requests", m.cfg.Slots))
		}
	})
}

func (f *flight) giveUp(m *Minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.givenUp = true
}

func (m *Minion) leave(f *flight) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.flights, f)
}

// onceSet remembers the non-idempotent requests that minions have run.
type onceSet struct {
	ledger *Ledger
	mu     sync.Mutex
	seen   map[uint64]struct{}
}

func newOnceSet(ledger *Ledger) *onceSet {
	return &onceSet{ledger: ledger, seen: make(map[uint64]struct{})}
}

func (s *onceSet) add(nonce string) {
	key := xxhash.Sum64String(nonce)
	s.mu.Lock()
	_, again := s.seen[key]
	s.seen[key] = struct{}{}
	s.mu.Unlock()
	if again {
		s.ledger.Add(MoreThanOnce, nonce, "non-idempotent request ran again")
	}
}
