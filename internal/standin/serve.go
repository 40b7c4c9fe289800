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

// slotCheckDelay is how long a minion waits before it records more requests in flight
// than slots as a violation. A request whose caller has disconnected no longer occupies
// a slot, but the minion notices the disconnect with a delay.
const slotCheckDelay = 50 * time.Millisecond

// request is one request in flight at a minion.
type request struct {
	// callerDisconnected is set when the caller disconnects before the response.
	callerDisconnected bool
}

// limitExceeded returns the detail of a violation: count exceeds the limit. unit names
// what is counted, such as "requests".
func limitExceeded(count int, unit string, limit int) string {
	return fmt.Sprintf("%d %s at the same time, the limit is %d", count, unit, limit)
}

// ServeHTTP serves one request with the injected faults. The caller can verify the
// response with checkResponseBody.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, faults := m.beginRequest()
	defer m.endRequest(req)
	serviceTime := m.workTime(r) + faults.Delay
	body, err := io.ReadAll(r.Body)
	if err != nil {
		req.markDisconnected(m)
		return
	}
	query := r.URL.Query()
	nonce := query.Get(paramNonce)
	if query.Get(paramNonIdempotent) != "" {
		m.nonIdempotent.add(nonce)
	}
	switch {
	case faults.Fail:
		http.Error(w, "injected fault: every request fails", http.StatusInternalServerError)
		return
	case faults.Hang:
		<-r.Context().Done()
	default:
		wait.For(r.Context(), serviceTime)
	}
	if r.Context().Err() != nil {
		req.markDisconnected(m)
		return
	}
	size, _ := strconv.Atoi(query.Get(paramSize))
	writeResponse(w, newResponseBody(nonce, body, size), faults.Truncate)
}

// writeResponse writes the body. If truncate is set, it writes half of the body and
// breaks the connection.
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

// workTime returns the service time that a request specifies, or else the default,
// MinionsConfig.Work.
func (m *Minion) workTime(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get(paramWork)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return m.cfg.Work
}

// beginRequest registers a request in flight and returns the faults to inject into it. If
// more requests than slots are in flight, it calls checkSlotsLater. It records a
// violation if the minion left more than LeaveGrace ago.
func (m *Minion) beginRequest() (*request, MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	req := &request{}
	m.inFlight[req] = struct{}{}
	m.stats.Requests++
	m.stats.MaxInFlight = max(m.stats.MaxInFlight, len(m.inFlight))
	if len(m.inFlight) > m.cfg.Slots {
		m.checkSlotsLater()
	}
	if sinceLeave := time.Since(m.leftAt); !m.leftAt.IsZero() && sinceLeave > m.cfg.LeaveGrace {
		m.cfg.Ledger.Add(RequestAfterLeave, m.id, fmt.Sprintf("new request %s after the leave", sinceLeave.Round(time.Millisecond)))
	}
	return req, m.faults
}

// checkSlotsLater schedules a check of the requests that are in flight now. After
// slotCheckDelay, the check counts those whose caller hasn't disconnected, and records a
// violation if they exceed the slots. m.mu must be held.
func (m *Minion) checkSlotsLater() {
	concurrent := make([]*request, 0, len(m.inFlight))
	for req := range m.inFlight {
		concurrent = append(concurrent, req)
	}
	time.AfterFunc(slotCheckDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		active := 0
		for _, req := range concurrent {
			if !req.callerDisconnected {
				active++
			}
		}
		if active > m.cfg.Slots {
			m.cfg.Ledger.Add(SlotsExceeded, m.id, limitExceeded(active, "requests", m.cfg.Slots))
		}
	})
}

// markDisconnected records that the caller has disconnected. It acquires m.mu.
func (r *request) markDisconnected(m *Minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.callerDisconnected = true
}

func (m *Minion) endRequest(req *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, req)
}

// nonIdempotentSet holds the non-idempotent requests that the minions of a fleet have
// received, by the hash of the nonce, and records duplicates as violations.
type nonIdempotentSet struct {
	ledger *Ledger
	mu     sync.Mutex
	seen   map[uint64]struct{}
}

func newNonIdempotentSet(ledger *Ledger) *nonIdempotentSet {
	return &nonIdempotentSet{ledger: ledger, seen: make(map[uint64]struct{})}
}

// add adds a request and records a violation if the set contains it already.
func (s *nonIdempotentSet) add(nonce string) {
	key := xxhash.Sum64String(nonce)
	s.mu.Lock()
	_, duplicate := s.seen[key]
	s.seen[key] = struct{}{}
	s.mu.Unlock()
	if duplicate {
		s.ledger.Add(DuplicateStart, nonce, "non-idempotent request was executed again")
	}
}
