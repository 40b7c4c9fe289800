package cell

import (
	"context"
	"expvar"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/peer"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Name of the replication group of the configuration, and prefix of the names of the data
// centres' replication groups.
const (
	configGroup = "configuration"
	cellPrefix  = "cell."
)

// transferTimeout bounds the leadership transfers at a shutdown.
const transferTimeout = 5 * time.Second

// process is one running bilberry-celld: its replication groups and their connections.
type process struct {
	base      *daemon.Base
	transport *peer.Transport
	mux       *peer.Mux
	groups    map[string]*node.Group
}

// Serve runs bilberry-celld until ctx ends.
func Serve(ctx context.Context, b *daemon.Base) error {
	config := peer.Config{ID: b.Instance.ID, Bearer: "Bearer " + b.Tokens.Token(settings.Peer), Clock: hybridClock{b}, Dial: b.Dial}
	p := &process{base: b, transport: peer.New(config), mux: peer.NewMux(config), groups: make(map[string]*node.Group)}
	for _, instance := range b.Settings.Instances {
		if instance.Cell != "" && instance.ID != b.Instance.ID {
			p.transport.SetPeer(instance.ID, instance.Cell)
		}
	}
	c, err := p.openGroups(ctx)
	if ctx.Err() != nil && errors.IsAny(err, wal.ErrDiskRefuses, vfs.ErrLocked) {
		return nil
	}
	if err != nil {
		return err
	}
	c.Publish(b.Metrics)
	p.publish()
	return b.Serve(ctx, daemon.Service{
		Address: b.Instance.Cell, AdminAddress: b.Instance.CellAdmin, Handler: c.Handler(p.mux.Exchange),
		Ready:         func() bool { return c.log.Status().Leader != "" },
		Run:           func(ctx context.Context) error { return p.run(ctx, c) },
		BeginShutdown: func() { p.beginShutdown(c) },
	})
}

// openGroups opens the log of the data centre, the logs that this instance witnesses
// and, on a configuration voter, the configuration log.
func (p *process) openGroups(ctx context.Context) (*Cell, error) {
	s, instance := p.base.Settings, p.base.Instance
	machine := NewStateMachine(instance.DataCentre, p.base.Events)
	home, err := p.open(ctx, cellPrefix+instance.DataCentre, cellMembers(s, instance.DataCentre), machine)
	if err != nil {
		return nil, err
	}
	for _, dataCentre := range instance.WitnessFor {
		if _, err := p.open(ctx, cellPrefix+dataCentre, cellMembers(s, dataCentre), NewStateMachine(dataCentre, nil)); err != nil {
			return nil, err
		}
	}
	logs := Logs{Home: home, StateMachine: machine, Groups: map[string]Group{instance.DataCentre: home}}
	if instance.ConfigVoter {
		logs.Register = conf.NewRegister()
		voters, err := p.open(ctx, configGroup, members(s.ConfigVoters(), ""), logs.Register)
		if err != nil {
			return nil, err
		}
		logs.Configuration = voters
		logs.Groups[configGroup] = voters
	}
	return New(p.base, logs), nil
}

// open opens the log of one replication group and registers the group for messages of
// peers. The log is on disk if the instance has a disk.
func (p *process) open(ctx context.Context, name string, members []replica.Member, machine node.Machine) (*node.Group, error) {
	b := p.base
	timing := b.Settings.Timing
	config := node.Config{
		Group: name, ID: b.Instance.ID, Members: members, Machine: machine, Transport: p.transport,
		TickInterval:   time.Duration(timing.Tick),
		ElectionTicks:  int(timing.Election / timing.Tick),
		HeartbeatTicks: int(timing.Heartbeat / timing.Tick),
		Seed:           xxhash.Sum64String(b.Instance.ID + "/" + name),
		Logger:         b.Logger,
		Fatal:          b.Fatal,
		Now:            b.LogClock,
	}
	if b.Instance.DataFolder != "" {
		config.Folder = filepath.Join(b.Instance.DataFolder, name)
	}
	group, err := node.Open(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "group %s", name)
	}
	p.groups[name] = group
	p.mux.Register(name, group.Step)
	return group, nil
}

// cellMembers returns the members of a data centre's log.
func cellMembers(s *settings.Settings, dataCentre string) []replica.Member {
	return members(s.CellMembers(dataCentre), dataCentre)
}

// members describes instances as voters. Instances outside the given data centre are
// witnesses: they vote and store the log, and never lead. If dataCentre is empty, there
// are no witnesses.
func members(instances []settings.Instance, dataCentre string) []replica.Member {
	var voters []replica.Member
	for _, instance := range instances {
		voters = append(voters, replica.Member{
			ID: instance.ID, Address: instance.Cell, HasDisk: instance.DataFolder != "",
			Witness: dataCentre != "" && instance.DataCentre != dataCentre,
		})
	}
	return voters
}

// run runs the connections, the replication groups and the cell until ctx ends or one of
// them fails.
func (p *process) run(ctx context.Context, c *Cell) error {
	running, ctx := errgroup.WithContext(ctx)
	running.Go(func() error { return p.transport.Run(ctx) })
	for _, group := range p.groups {
		running.Go(func() error { return group.Run(ctx) })
	}
	running.Go(func() error { return p.trackMembers(ctx) })
	if p.base.ForceStart {
		running.Go(func() error { return p.forceStart(ctx) })
	}
	running.Go(func() error { return c.Run(ctx) })
	err := running.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// forceStart makes this member lead the log of its data centre alone, with the entries
// that it has. Entries that only the lost members had are lost with them.
func (p *process) forceStart(ctx context.Context) error {
	group := p.groups[cellPrefix+p.base.Instance.DataCentre]
	// The replication group refuses a forced start until the member has waited long enough
	// for a leader.
	giveUpAt := time.Now().Add(forceStartTimeout)
	for {
		err := group.ForceStart(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil || time.Now().After(giveUpAt) {
			return errors.Wrap(err, "forced start")
		}
		wait.For(ctx, memberCheckInterval)
	}
	p.base.Events.Record("forced start", "", p.base.Instance.DataCentre, p.base.Instance.ID)
	p.base.Logger.Log("msg", "forced start: this member leads the log alone", "data_centre", p.base.Instance.DataCentre)
	return nil
}

// forceStartTimeout bounds how long a forced start is tried.
const forceStartTimeout = 30 * time.Second

// memberCheckInterval is the interval of checks for members that joined.
const memberCheckInterval = 500 * time.Millisecond

// trackMembers connects to members that the settings of this process don't name,
// because they joined after it started.
func (p *process) trackMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, group := range p.groups {
			for _, member := range group.Status().Members {
				if _, err := p.base.Settings.Instance(member.ID); err != nil && member.Address != "" {
					p.transport.SetPeer(member.ID, member.Address)
				}
			}
		}
		wait.For(ctx, memberCheckInterval)
	}
	return nil
}

// beginShutdown transfers the leadership while this process still responds to its peers,
// so that the other members needn't wait for an election timeout.
func (p *process) beginShutdown(c *Cell) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	var transfers errgroup.Group
	for _, group := range p.groups {
		transfers.Go(func() error { return group.Transfer(ctx) })
	}
	if err := transfers.Wait(); err != nil {
		p.base.Logger.Log("msg", "leadership not transferred; the other members wait for an election timeout", "err", err)
	}
	c.BeginShutdown()
}

// publish adds the metrics of the replication groups and of their connections.
func (p *process) publish() {
	p.base.Metrics.Set("groups", expvar.Func(func() any {
		statsByGroup := make(map[string]node.Stats, len(p.groups))
		for name, group := range p.groups {
			statsByGroup[name] = group.Stats()
		}
		return statsByGroup
	}))
	p.base.Metrics.Set("roles", expvar.Func(func() any {
		roleByGroup := make(map[string]string, len(p.groups))
		for name, group := range p.groups {
			roleByGroup[name] = group.RoleName()
		}
		return roleByGroup
	}))
	p.base.Metrics.Set("peers", expvar.Func(func() any { return p.transport.Stats() }))
}

// hybridClock adds timestamps of the process's hybrid logical clock to messages between
// instances, so that the events that a message causes have later timestamps than the
// message.
type hybridClock struct{ base *daemon.Base }

// Timestamp returns the current time: the wall time and the logical counter.
func (c hybridClock) Timestamp() (int64, uint32) {
	timestamp := c.base.Clock.Now(time.Now())
	return timestamp.Wall, timestamp.Logical
}

// Observe advances the clock past a timestamp that was received.
func (c hybridClock) Observe(wall int64, logical uint32) {
	c.base.Clock.Observe(hlc.Timestamp{Wall: wall, Logical: logical}, time.Now())
}
