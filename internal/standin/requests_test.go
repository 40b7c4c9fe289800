package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// fakeMinionGateway is an entry instance that counts the announcements and leave messages of
// minions.
type fakeMinionGateway struct {
	mu            sync.Mutex
	announcements map[string]int
	leftMinions   map[string]int
}

func newFakeMinionGateway() *fakeMinionGateway {
	return &fakeMinionGateway{announcements: make(map[string]int), leftMinions: make(map[string]int)}
}

func (f *fakeMinionGateway) Announce(_ context.Context, r *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcements[r.Minion]++
	return &apiv1.AnnounceResponse{TtlMs: 2500}, nil
}

func (f *fakeMinionGateway) LeaveMinion(_ context.Context, r *apiv1.LeaveMinionRequest) (*apiv1.LeaveResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leftMinions[r.Minion]++
	return &apiv1.LeaveResponse{}, nil
}

// startMinions runs a fleet of minions with two entry addresses and waits until an
// announcement of each minion is accepted.
func startMinions(t *testing.T, cfg MinionsConfig) (*Minions, *fakeMinionGateway) {
	t.Helper()
	gateway := newFakeMinionGateway()
	handler := apiv1.NewMinionGatewayServer(gateway)
	cfg.DataCentres = []DataCentre{{Name: "hall", Entries: []string{serve(t, handler), serve(t, handler)}}}
	cfg.Service = "hub"
	fleet := NewMinions(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fleet.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	eventually(t, "all minions announced", func() bool { return fleet.Ready() == cfg.Count })
	return fleet, gateway
}

// runCallers runs a load to its end and returns its report and violations.
func runCallers(t *testing.T, cfg CallersConfig) (CallersReport, []Violation) {
	t.Helper()
	cfg.Rate = 1000
	callers := NewCallers(cfg)
	must.NoError(t, callers.Run(t.Context()))
	return callers.Report(), callers.Ledger().Violations()
}

// A correct response counts as wrong, or a load within the limits of a minion causes a
// violation. Half of the calls are non-idempotent, and requests have bodies.
func TestCallersReceiveCorrectResponses(t *testing.T) {
	fleet, _ := startMinions(t, MinionsConfig{Count: 1, Slots: 1000, MaxConnections: 1000})
	const calls = 50
	report, violations := runCallers(t, CallersConfig{
		Entries: []string{fleet.All()[0].Address()}, Direct: true,
		Count: calls, NonIdempotentShare: 0.5, BodySize: 100, Size: 5000,
	})
	must.Eq(t, calls, report.Correct)
	must.SliceEmpty(t, violations)
	must.SliceEmpty(t, fleet.Ledger().Violations())
}

// Each injected fault of a minion must appear in the callers' report under its own count.
// A connection that breaks within a response must count as broken, not as a wrong
// response.
func TestMinionFaultsReachCallers(t *testing.T) {
	fleet, _ := startMinions(t, MinionsConfig{Count: 1, Slots: 100, FaultyCount: 1, Faults: MinionFaults{Fail: true}})
	minion := fleet.All()[0]
	const (
		calls        = 5
		deadline     = 50 * time.Millisecond
		pastDeadline = 60 * time.Millisecond // service time after which a response is late
	)
	cfg := CallersConfig{Entries: []string{minion.Address()}, Direct: true, Count: calls, Deadline: deadline}
	report, _ := runCallers(t, cfg)
	must.Eq(t, calls, report.Refused["500"])
	minion.SetFaults(MinionFaults{Truncate: true})
	report, violations := runCallers(t, cfg)
	must.Eq(t, calls, report.Broken)
	must.SliceEmpty(t, violations)
	minion.SetFaults(MinionFaults{Hang: true})
	report, _ = runCallers(t, cfg)
	must.Eq(t, calls, report.TimedOut)
	minion.SetFaults(MinionFaults{Delay: pastDeadline})
	report, _ = runCallers(t, cfg)
	must.Eq(t, calls, report.Late)
}

// A proxy truncates a response but marks it as complete, or sends a caller the response to
// another request. The caller must detect both.
func TestCallersDetectTruncatedAndSwappedResponses(t *testing.T) {
	const (
		calls          = 3
		truncatedBytes = 100 // shorter than a complete response
	)
	complete := newResponseBody("other", nil, DefaultResponseSize)
	for name, body := range map[string][]byte{"swapped": complete, "cut": complete[:truncatedBytes], "empty": nil} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			report, violations := runCallers(t, CallersConfig{Entries: []string{address}, Count: calls})
			must.Eq(t, calls, report.Wrong)
			must.Len(t, calls, violations)
		})
	}
}

// An entry instance crashes with requests in flight. Idempotent calls must be sent again
// to another instance. Non-idempotent calls could run twice if they were sent again, so
// they must end as broken.
func TestCallersResendOnlyIdempotentRequests(t *testing.T) {
	crashing := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	fleet, _ := startMinions(t, MinionsConfig{Count: 1, Slots: 100})
	const calls = 20
	cfg := CallersConfig{Entries: []string{crashing, fleet.All()[0].Address()}, Direct: true, Count: calls, Resend: true}
	report, _ := runCallers(t, cfg)
	must.Eq(t, calls, report.Correct)
	must.Positive(t, report.Resent)
	cfg.NonIdempotentShare = 1
	report, _ = runCallers(t, cfg)
	must.Positive(t, report.BrokenNonIdempotent)
	must.Eq(t, calls, report.Correct+report.BrokenNonIdempotent)
}

// Two requests in flight on one slot are a violation, except when the caller of the first
// has disconnected and the minion notices it only after the second request arrives.
func TestMinionReportsSlotsExceeded(t *testing.T) {
	ledger := NewLedger()
	minion := newMinion(MinionsConfig{DataCentres: []DataCentre{{}}, Slots: 1, Ledger: ledger}.withDefaults(), 0, newNonIdempotentSet(ledger))
	firstRequest, _ := minion.beginRequest()
	minion.beginRequest()
	firstRequest.markDisconnected(minion)
	minion.endRequest(firstRequest)
	minion.beginRequest()
	eventually(t, "violation of the third request", func() bool { return len(ledger.Violations()) > 0 })
	must.Len(t, 1, ledger.Violations())
	must.Eq(t, SlotsExceeded, ledger.Violations()[0].Kind)
	must.Eq(t, 2, minion.Stats().MaxInFlight)
}

// An entry instance that didn't receive a minion's leave message still sends requests
// after LeaveGrace, and sends a non-idempotent request twice. The ledger must record a
// violation for each.
func TestMinionDetectsLateAndDuplicateRequests(t *testing.T) {
	fleet, gateway := startMinions(t, MinionsConfig{Count: 1, LeaveGrace: time.Nanosecond})
	minion := fleet.All()[0]
	must.NoError(t, fleet.Leave(t.Context()))
	must.Eq(t, 2, gateway.leftMinions[minion.ID()])
	for range 2 {
		request := httptest.NewRequest(http.MethodPost, "/work?once=1&nonce=n", nil)
		minion.ServeHTTP(httptest.NewRecorder(), request)
	}
	kinds := map[ViolationKind]int{}
	for _, v := range fleet.Ledger().Violations() {
		kinds[v.Kind]++
	}
	must.Eq(t, map[ViolationKind]int{RequestAfterLeave: 2, DuplicateStart: 1}, kinds)
}
