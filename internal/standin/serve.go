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

// slotCheckDelay is how long a minion waits before it counts requests above its
// slots as a violation: one whose caller has given up has freed its slot, but
// the minion learns of that a moment later.
const slotCheckDelay = 50 * time.Millisecond

// flight is one request in progress.
type request struct {
	// callerDisconnected says that the caller went away before the answer.
	callerDisconnected bool
}

func limitExceeded(have int, what string, limit int) string {
	return fmt.Sprintf("%d %s at once, the limit is %d", have, what, limit)
}

// ServeHTTP takes one request, plays its faults and answers it in a form that
// the caller can check.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, faults := m.beginRequest()
	defer m.endRequest(f)
	work := m.workTime(r) + faults.Delay
	body, err := io.ReadAll(r.Body)
	if err != nil {
		f.markDisconnected(m)
		return
	}
	query := r.URL.Query()
	nonce := query.Get(paramNonce)
	if query.Get(paramNonIdempotent) != "" {
		m.nonIdempotent.add(nonce)
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
		f.markDisconnected(m)
		return
	}
	size, _ := strconv.Atoi(query.Get(paramSize))
	writeResponse(w, newResponseBody(nonce, body, size), faults.Truncate)
}

// writeResponse writes the answer; when it is to be cut, only half of the body.
func writeResponse(w http.ResponseWriter, body []byte, truncate bool) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
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
func (m *Minion) beginRequest() (*request, MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &request{}
	m.inFlight[f] = struct{}{}
	m.stats.Requests++
	m.stats.MaxInFlight = max(m.stats.MaxInFlight, len(m.inFlight))
	if len(m.inFlight) > m.cfg.Slots {
		m.checkSlotsLater()
	}
	if sinceLeave := time.Since(m.leftAt); !m.leftAt.IsZero() && sinceLeave > m.cfg.LeaveGrace {
		m.cfg.Ledger.Add(RequestAfterLeave, m.id, fmt.Sprintf("new request %s after the leave", sinceLeave.Round(time.Millisecond)))
	}
	return f, m.faults
}

// checkSlotsLater judges the requests that are now above the slots once it is known
// whose caller had given up by then.
func (m *Minion) checkSlotsLater() {
	concurrent := make([]*request, 0, len(m.inFlight))
	for f := range m.inFlight {
		concurrent = append(concurrent, f)
	}
	time.AfterFunc(slotCheckDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		active := 0
		for _, f := range concurrent {
			if !f.callerDisconnected {
				active++
			}
		}
		if active > m.cfg.Slots {
			m.cfg.Ledger.Add(SlotsExceeded, m.id, limitExceeded(active, "requests", m.cfg.Slots))
		}
	})
}

func (f *request) markDisconnected(m *Minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.callerDisconnected = true
}

func (m *Minion) endRequest(f *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, f)
}

// nonIdempotentSet remembers the non-idempotent requests that minions have run.
type nonIdempotentSet struct {
	ledger *Ledger
	mu     sync.Mutex
	seen   map[uint64]struct{}
}

func newNonIdempotentSet(ledger *Ledger) *nonIdempotentSet {
	return &nonIdempotentSet{ledger: ledger, seen: make(map[uint64]struct{})}
}

func (s *nonIdempotentSet) add(nonce string) {
	key := xxhash.Sum64String(nonce)
	s.mu.Lock()
	_, duplicate := s.seen[key]
	s.seen[key] = struct{}{}
	s.mu.Unlock()
	if duplicate {
		s.ledger.Add(DuplicateStart, nonce, "non-idempotent request ran again")
	}
}
