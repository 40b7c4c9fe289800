// Package member runs one member of the log that all core instances share. No settings
// list all instances: a new instance asks its seeds for the leader, the leader adds it to
// the membership, and the committed membership names it to the others.
package member

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/peer"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/replica"
)

// GroupName names the log.
const GroupName = "core"

// Timing of the log. A leader sends a heartbeat every 50 ms. A member starts an election
// after 0.25 s to 0.5 s without a heartbeat, drawn at random, or later if the leader's
// heartbeats are often late (see replica.Core). The timeout is short because callers wait
// while there is no leader, whereas a change of leader costs little: the next leader finds
// all state in the log.
const (
	tickInterval   = 50 * time.Millisecond
	electionTicks  = 5
	heartbeatTicks = 1
	// snapshotEntries bounds how many entries a restart applies again.
	snapshotEntries = 20_000
	// announceInterval is the time between two announcements to the leader.
	announceInterval = 400 * time.Millisecond
	// joinTimeout bounds one announcement to one instance.
	joinTimeout = 600 * time.Millisecond
	// transferTimeout bounds the leadership transfer when the instance stops.
	transferTimeout = 1500 * time.Millisecond
)

// Names in the data folder: the file that stores the initial membership, and the folder of the
// log.
const (
	membersFile = "members"
	logFolder   = "log"
)

// Config holds the fixed settings of a Host.
type Config struct {
	// ID is the instance's IP address; peers reach it at ID:Port.
	ID   string
	Port string
	// DataCentre is the instance's data centre.
	DataCentre string
	// Seeds are IP addresses of core instances.
	Seeds []string
	// FirstStart says that the whole system starts for the first time, so that the seeds form
	// the initial membership.
	FirstStart bool
	// Folder is a folder on a disk of the instance, and Files the file system with it; nil means
	// that of the operating system.
	Folder string
	Files  vfs.FS
	// Voters is the number of voting members once enough have joined.
	Voters  int
	Machine node.Machine
	// MaxTransferBytes bounds a snapshot that this member accepts from another one; 0 for the default.
	MaxTransferBytes int64
	// Work sums up the time of the log; nil sums up nothing.
	Work   *worktime.Ledger
	Logger log.Logger
	// Fatal must end the process at once; see node.Config.
	Fatal func(error)
}

// Host is one member with its connections to the others.
type Host struct {
	cfg       Config
	client    *link.Client
	transport *peer.Transport
	mux       *peer.Mux
	group     *node.Group
	liveness  livenessTracker

	mu       sync.Mutex
	stopping bool
	// lastSender is the ID of the instance that sent the last message of the log, "" for none.
	lastSender string
	// seeds are the latest seeds, which an instance that joins announces itself to.
	seeds []string
}

// New returns a host that isn't running yet, and registers its handlers for peers.
func New(cfg Config, client *link.Client, mux *link.Mux) *Host {
	if cfg.Files == nil {
		cfg.Files = vfs.OS{}
	}
	config := peer.Config{ID: cfg.ID, MaxTransferBytes: cfg.MaxTransferBytes, Logger: cfg.Logger}
	h := &Host{cfg: cfg, seeds: cfg.Seeds, client: client, transport: peer.New(config), mux: peer.NewMux(config), liveness: newLivenessTracker()}
	mux.HandleHTTP(apiv1.PeerPathPrefix, apiv1.NewPeerServer(exchangeOnly{h.mux, h.recordSender}))
	link.Handle(mux, MethodJoin, h.serveJoin)
	return h
}

// Open determines the initial membership and opens the log. Without a stored membership,
// and unless this instance is a seed at the first start of the system, it waits until a
// leader has added the instance and takes the leader's membership.
func (h *Host) Open(ctx context.Context) (*node.Group, error) {
	members, stored, err := h.initialMembers(ctx)
	if err != nil {
		return nil, err
	}
	group, err := node.Open(ctx, node.Config{
		Group: GroupName, ID: h.cfg.ID, Members: members, Machine: h.cfg.Machine,
		Transport:    h,
		Folder:       filepath.Join(h.cfg.Folder, logFolder),
		Files:        h.cfg.Files,
		ExpectState:  stored && !h.cfg.FirstStart,
		TickInterval: tickInterval, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		SnapshotEntries: snapshotEntries,
		Seed:            xxhash.Sum64String(h.cfg.ID),
		Logger:          h.cfg.Logger,
		Work:            h.cfg.Work,
		Fatal:           h.cfg.Fatal,
	})
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.group = group
	h.mu.Unlock()
	h.mux.Register(GroupName, group.Step)
	status := group.Status()
	_ = h.cfg.Logger.Log("event", "log_opened", "members", len(status.Members), "last", status.Last, "term", status.Term)
	return group, nil
}

// Send passes a payload for a member to the transport. The ID of a member is its IP
// address, so no list of addresses is needed.
func (h *Host) Send(group, to string, payload []byte) {
	h.transport.SetPeer(to, h.address(to))
	h.transport.Send(group, to, payload)
}

func (h *Host) address(id string) string { return net.JoinHostPort(id, h.cfg.Port) }

// Run runs the member until ctx ends or a part of it fails.
func (h *Host) Run(ctx context.Context) error {
	running, ctx := panics.NewGroup(ctx)
	running.Go(func() error { return h.transport.Run(ctx) })
	running.Go(func() error { return h.group.Run(ctx) })
	running.Go(func() error { return h.announce(ctx) })
	running.Go(func() error { return h.manageMembership(ctx) })
	return running.Wait()
}

// TransferLeadership transfers the leadership to another member if this one leads. It
// logs a failure.
func (h *Host) TransferLeadership(ctx context.Context) {
	h.mu.Lock()
	h.stopping = true
	group := h.group
	h.mu.Unlock()
	if group == nil || group.Status().Role != replica.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := group.Transfer(ctx); err != nil {
		_ = h.cfg.Logger.Log("event", "handover", "outcome", "failed", "err", err)
	}
}

// Leader returns the address of the leader, or "" while none is known.
func (h *Host) Leader() string {
	group := h.currentGroup()
	if group == nil {
		return ""
	}
	leader := group.Status().Leader
	if leader == "" {
		return ""
	}
	return h.address(leader)
}

// Addresses returns the addresses of the known members, or of the seeds if none is
// known.
func (h *Host) Addresses() []string {
	var addresses []string
	if group := h.currentGroup(); group != nil {
		for _, m := range group.Status().Members {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		for _, seed := range h.latestSeeds() {
			addresses = append(addresses, h.address(seed))
		}
	}
	return addresses
}

// SetSeeds replaces the seeds. The initial membership of a first start isn't affected.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

func (h *Host) latestSeeds() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seeds
}

func (h *Host) currentGroup() *node.Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.group
}

// initialMembers returns the membership that the log starts with. It is stored in a file,
// because a later start may have other seeds in its settings, and the log on disk would
// then be read under a membership that was never in force. stored is true if an earlier run
// has stored the membership or the log.
func (h *Host) initialMembers(ctx context.Context) (members []replica.Member, stored bool, err error) {
	path := filepath.Join(h.cfg.Folder, membersFile)
	var complete bool
	err = h.retryWhileRefused(ctx, func() (err error) {
		members, stored, complete, err = h.storedMembers(path)
		return err
	})
	if err != nil || complete {
		return members, stored, err
	}
	if members == nil {
		members = h.seedMembers()
	}
	if members == nil {
		if members, err = h.join(ctx); err != nil {
			return nil, stored, err
		}
	}
	return members, stored, h.saveMembers(ctx, path, members)
}

// storedMembers returns the membership that the disk has, or nil for none. complete is true if it is in its
// file and needn't be saved again; stored is as for initialMembers.
func (h *Host) storedMembers(path string) (members []replica.Member, stored, complete bool, err error) {
	members, err = h.readMembers(path)
	if err != nil || members != nil {
		return members, true, true, err
	}
	members, stored, err = h.membersOfLog()
	return members, stored, false, err
}

// readMembers returns the membership in a file, or nil if the file is missing or unreadable. A read that
// the disk refuses is an error: the file may be whole.
func (h *Host) readMembers(path string) ([]replica.Member, error) {
	data, err := h.cfg.Files.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, nil
	case vfs.IsRefused(err):
		return nil, errors.Wrap(err, "read the members")
	}
	var members []replica.Member
	if err == nil {
		err = cbor.Unmarshal(data, &members)
	}
	if err != nil || len(members) == 0 {
		_ = level.Error(h.cfg.Logger).Log("event", "members_file", "outcome", "unreadable", "err", err)
		return nil, nil
	}
	return members, nil
}

// membersOfLog returns the last membership that the log knows to be committed, or nil if there is
// none. stored is true if the log has any state; then the file of the initial membership should
// be there, and its absence is logged.
func (h *Host) membersOfLog() (members []replica.Member, stored bool, err error) {
	state, err := wal.Read(h.cfg.Files, filepath.Join(h.cfg.Folder, logFolder))
	if err != nil || state.Empty() {
		return nil, false, err
	}
	last := state.Snapshot.Index
	if n := len(state.Entries); n > 0 {
		last = state.Entries[n-1].Index
	}
	_ = level.Error(h.cfg.Logger).Log("event", "members_file", "outcome", "missing", "log_last", last,
		"snapshot", state.Snapshot.Index, "term", state.HardState.Term)
	members, err = state.CommittedMembers()
	return members, true, err
}

// seedMembers returns the seeds as members if this instance is a seed at the first start of
// the system, and otherwise nil.
func (h *Host) seedMembers() []replica.Member {
	if !h.cfg.FirstStart {
		return nil
	}
	var members []replica.Member
	isSeed := false
	for _, seed := range h.cfg.Seeds {
		members = append(members, h.member(seed))
		isSeed = isSeed || seed == h.cfg.ID
	}
	if !isSeed {
		return nil
	}
	return members
}

func (h *Host) member(id string) replica.Member {
	return replica.Member{ID: id, Address: h.address(id), HasDisk: true}
}

// saveMembers makes the file of the initial membership durable, with its name, before the log
// is opened. While the disk refuses, it waits until a write succeeds or ctx ends.
func (h *Host) saveMembers(ctx context.Context, path string, members []replica.Member) error {
	return h.retryWhileRefused(ctx, func() error { return h.writeMembers(path, members) })
}

// retryWhileRefused makes attempts until the disk doesn't refuse or ctx ends.
func (h *Host) retryWhileRefused(ctx context.Context, attempt func() error) error {
	retry := vfs.RetryWaiter{Logger: h.cfg.Logger}
	for {
		err := attempt()
		if err == nil {
			retry.Succeeded()
			return nil
		}
		if !vfs.IsRefused(err) || !retry.Wait(ctx, err) {
			return err
		}
	}
}

// writeMembers makes one attempt to write the file of the initial membership.
func (h *Host) writeMembers(path string, members []replica.Member) error {
	if err := vfs.MkdirAllDurable(h.cfg.Files, h.cfg.Folder); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	data, err := cbor.Marshal(members)
	if err != nil {
		return errors.Wrap(err, "encode the members")
	}
	f, err := vfs.WriteAtomically(h.cfg.Files, path, data)
	if err != nil {
		return errors.Wrap(err, "store the members")
	}
	return errors.Wrap(f.Close(), "close the file of members")
}

// exchangeOnly serves the Exchange call, which carries the messages of the log. The other
// calls between instances belong to data centres with logs of their own.
type exchangeOnly struct {
	mux *peer.Mux
	// recordSender records the ID of an instance whose messages were accepted.
	recordSender func(id string)
}

var errNotServed = twirp.NewError(twirp.Unimplemented, "not served by an instance of a shared log")

// Exchange receives messages of the log.
func (e exchangeOnly) Exchange(ctx context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	response, err := e.mux.Exchange(ctx, r)
	if err == nil {
		e.recordSender(r.From)
	}
	return response, fault.ToTwirp(err)
}

// Offer is not served.
func (exchangeOnly) Offer(context.Context, *apiv1.OfferRequest) (*apiv1.OfferResponse, error) {
	return nil, errNotServed
}

// FetchConfig is not served.
func (exchangeOnly) FetchConfig(context.Context, *apiv1.FetchConfigRequest) (*apiv1.Config, error) {
	return nil, errNotServed
}

// MoveQuota is not served.
func (exchangeOnly) MoveQuota(context.Context, *apiv1.MoveQuotaRequest) (*apiv1.MoveQuotaResponse, error) {
	return nil, errNotServed
}

// ShareSlots is not served.
func (exchangeOnly) ShareSlots(context.Context, *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	return nil, errNotServed
}
