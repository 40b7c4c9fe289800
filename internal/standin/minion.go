package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// announceTimeout bounds one round of announcements, or of leave messages, to all
// entry instances.
const announceTimeout = 2 * time.Second

// MinionStats holds counts of one minion, or those of a fleet as Minions.Stats combines
// them.
type MinionStats struct {
	// Requests is the number of requests that arrived.
	Requests int
	// InFlight is the number of requests in flight.
	InFlight int
	// MaxInFlight is the largest number of requests in flight so far, including
	// requests whose caller had just disconnected.
	MaxInFlight int
	// MaxConnections is the largest number of open connections so far.
	MaxConnections int
	// Announced is the number of announcements that entry instances accepted.
	Announced int
}

// Minion is one stand-in minion: an HTTP server that announces itself to the entry
// instances.
type Minion struct {
	cfg           MinionsConfig
	dataCentre    DataCentre
	id            string
	incarnation   uint64
	logger        log.Logger
	gateways      []apiv1.MinionGateway
	httpClient    *http.Client
	nonIdempotent *nonIdempotentSet

	mu                  sync.Mutex
	faults              MinionFaults
	announcementsPaused bool
	// leftAt is when Leave was called, or zero before.
	leftAt  time.Time
	address string
	// stats holds all counts but InFlight, which is the size of inFlight.
	stats       MinionStats
	inFlight    map[*request]struct{}
	connections map[net.Conn]struct{}
}

func newMinion(cfg MinionsConfig, index int, nonIdempotent *nonIdempotentSet) *Minion {
	dataCentre, id := cfg.identity(index)
	client := NewHTTPClient(cfg.Token, cfg.Dial)
	m := &Minion{
		cfg:           cfg,
		dataCentre:    dataCentre,
		id:            id,
		incarnation:   uint64(time.Now().UnixMilli()),
		logger:        log.With(cfg.Logger, "minion", id),
		httpClient:    client,
		nonIdempotent: nonIdempotent,
		inFlight:      make(map[*request]struct{}),
		connections:   make(map[net.Conn]struct{}),
	}
	if index < cfg.FaultyCount {
		m.faults = cfg.Faults
	}
	m.gateways = newClients(dataCentre.Entries, func(url string) apiv1.MinionGateway {
		return apiv1.NewMinionGatewayProtobufClient(url, client)
	})
	return m
}

// ID returns the minion's id.
func (m *Minion) ID() string { return m.id }

// Address returns the address on which the minion listens; empty before Run.
func (m *Minion) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// Stats returns the minion's counts.
func (m *Minion) Stats() MinionStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.stats
	stats.InFlight = len(m.inFlight)
	return stats
}

// SetFaults replaces the injected faults for new requests.
func (m *Minion) SetFaults(f MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// PauseAnnouncements stops the announcements if paused is true and resumes them if it is
// false. The minion continues to serve requests.
func (m *Minion) PauseAnnouncements(paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcementsPaused = paused
}

// Run listens, serves and announces the minion until the context ends. It returns an
// error when listening or serving fails.
func (m *Minion) Run(ctx context.Context) error {
	listener, err := m.cfg.Listen()
	if err != nil {
		return errors.Wrapf(err, "minion %s", m.id)
	}
	m.mu.Lock()
	m.address = listener.Addr().String()
	m.mu.Unlock()
	_ = m.logger.Log("event", "listens", "address", listener.Addr())
	server := rpc.NewServer(m)
	server.ConnState = m.trackConnection
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "minion %s", m.id)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		m.announceLoop(ctx)
		return nil
	})
	return group.Wait()
}

// trackConnection counts the open connections. It records a violation for each new
// maximum above MaxConnections.
func (m *Minion) trackConnection(c net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.connections[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(m.connections, c)
	}
	open := len(m.connections)
	if open <= m.stats.MaxConnections {
		return
	}
	m.stats.MaxConnections = open
	if open > m.cfg.MaxConnections {
		m.cfg.Ledger.Add(ConnectionsExceeded, m.id, limitExceeded(open, "connections", m.cfg.MaxConnections))
	}
}

// announceLoop announces the minion at the interval cfg.AnnounceInterval until the
// context ends.
func (m *Minion) announceLoop(ctx context.Context) {
	defer m.httpClient.CloseIdleConnections()
	ticker := time.NewTicker(m.cfg.AnnounceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if m.announcing() {
			m.announceAll(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// announcing reports whether the minion announces itself: until it leaves, unless
// announcements are paused.
func (m *Minion) announcing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.announcementsPaused && m.leftAt.IsZero()
}

// announceAll announces the minion to all entry instances at the same time, so that
// an unresponsive instance doesn't delay the announcements to the others.
func (m *Minion) announceAll(ctx context.Context) {
	request := &apiv1.AnnounceRequest{
		Minion:         m.id,
		Service:        m.cfg.Service,
		Address:        m.Address(),
		Slots:          int32(m.cfg.Slots),
		MaxConnections: int32(m.cfg.MaxConnections),
		DataCentre:     m.dataCentre.Name,
		Incarnation:    m.incarnation,
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var group errgroup.Group
	for _, gateway := range m.gateways {
		group.Go(func() error {
			if _, err := gateway.Announce(ctx, request); err == nil {
				m.countAnnounced()
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Minion) countAnnounced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Announced++
}

// Leave ends the minion's announcements and tells every entry instance that the minion
// leaves. The minion continues to serve requests and records a violation for each one
// that arrives later than LeaveGrace. Leave returns the error of the first call that
// failed.
func (m *Minion) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leftAt = time.Now()
	m.mu.Unlock()
	_ = m.logger.Log("event", "leaves")
	request := &apiv1.LeaveMinionRequest{Minion: m.id, Incarnation: m.incarnation, Service: m.cfg.Service}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var group errgroup.Group
	for _, gateway := range m.gateways {
		group.Go(func() error {
			_, err := gateway.LeaveMinion(ctx, request)
			return err
		})
	}
	return group.Wait()
}
