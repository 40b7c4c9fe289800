package cell

import (
	"context"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// Timing of configuration adoption.
const (
	// fetchLongPoll is how long a voter holds a request for a newer version. The next
	// request goes to the next voter, so a voter that is partitioned from the other
	// voters delays a version by fetchLongPoll at most.
	fetchLongPoll = 1500 * time.Millisecond
	// fetchGrace is how long a response may take beyond the long poll.
	fetchGrace = 500 * time.Millisecond
	// fetchRetryDelay is the delay before the next request after a failure.
	fetchRetryDelay = 500 * time.Millisecond
)

// adoptConfig commits each version of the shared configuration to the log of this data
// centre, which puts it in force on every replica. The log only grows, so no instance
// of the data centre returns to an older version, not even one that restarts without a
// disk.
func (c *Cell) adoptConfig(ctx context.Context) {
	voters := c.base.Settings.ConfigVoters()
	for i := 0; ctx.Err() == nil; i++ {
		if len(voters) == 0 {
			return
		}
		version, err := c.fetchConfig(ctx, &voters[i%len(voters)])
		if err != nil {
			wait.For(ctx, fetchRetryDelay)
			continue
		}
		if version.Version <= c.adoptedConfig().ConfigVersion {
			continue
		}
		quotas, err := quotaConfig(version.Version, version.Document)
		if err != nil {
			c.base.Logger.Log("msg", "configuration can't be read; the version in force stays", "version", version.Version, "err", err)
			wait.For(ctx, fetchRetryDelay)
			continue
		}
		adopt := &state.AdoptConfig{
			Quota: quotas, ConfigVersion: version.Version, Document: version.Document,
			Author: version.Author, Accepted: version.AcceptedUnixMs,
		}
		if _, err := c.propose(ctx, &state.Command{AdoptConfig: adopt}); err != nil {
			wait.For(ctx, fetchRetryDelay)
		}
	}
}

// adoptedConfig returns the configuration that this data centre has adopted.
func (c *Cell) adoptedConfig() state.AdoptConfig {
	var adopted state.AdoptConfig
	c.stateMachine.View(func(s *state.State) { adopted = s.Config })
	return adopted
}

// fetchConfig long-polls a voter for a version that is newer than the adopted one. The
// response has no document if the long poll ends first.
func (c *Cell) fetchConfig(ctx context.Context, voter *settings.Instance) (*apiv1.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLongPoll+fetchGrace)
	defer cancel()
	ctx, err := rpc.WithBearer(ctx, "Bearer "+c.base.Tokens.Token(settings.Peer))
	if err != nil {
		return nil, err
	}
	client := apiv1.NewPeerProtobufClient("http://"+voter.Cell, c.base.Directory.Client())
	return client.FetchConfig(ctx, &apiv1.FetchConfigRequest{
		AfterVersion: c.adoptedConfig().ConfigVersion, WaitMs: fetchLongPoll.Milliseconds(),
	})
}

// FetchConfig returns the configuration as soon as it is newer than the caller's version,
// or only its version if the long poll ends first. A voter returns the latest committed
// version of the configuration log. If r.Adopted is set, as by entry instances, the leader
// of the data centre returns the version that the data centre has adopted.
func (p *peerServer) FetchConfig(ctx context.Context, r *apiv1.FetchConfigRequest) (*apiv1.Config, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	pollCtx, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxFetchLongPoll))
	defer cancel()
	if r.Adopted {
		return p.fetchAdopted(ctx, pollCtx, r)
	}
	return p.fetchCommitted(pollCtx, r)
}

// fetchCommitted long-polls the configuration log. Only voters have that log; other
// instances return Unavailable.
func (c *Cell) fetchCommitted(pollCtx context.Context, r *apiv1.FetchConfigRequest) (*apiv1.Config, error) {
	if c.register == nil {
		return nil, fault.New(fault.Unavailable, "this instance doesn't vote on the configuration")
	}
	for {
		changed := c.register.Changed()
		current := c.register.Current()
		if current.Version > r.AfterVersion || !c.waitForChange(pollCtx, changed) {
			return omitUnchanged(configToAPI(current), r.AfterVersion), nil
		}
	}
}

// fetchAdopted long-polls the configuration that this data centre has adopted. Only a
// leader that has confirmed its leadership responds, so that an entry instance that
// restarts never receives an older version than the data centre has in force.
func (c *Cell) fetchAdopted(ctx, pollCtx context.Context, r *apiv1.FetchConfigRequest) (*apiv1.Config, error) {
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	if err := barrier(ctx, c.log); err != nil {
		return nil, err
	}
	for {
		changed := c.stateMachine.Changed()
		adopted := c.adoptedConfig()
		if adopted.ConfigVersion > r.AfterVersion || !c.waitForChange(pollCtx, changed) {
			return omitUnchanged(&apiv1.Config{
				Version: adopted.ConfigVersion, Document: adopted.Document,
				Author: adopted.Author, AcceptedUnixMs: adopted.Accepted,
			}, r.AfterVersion), nil
		}
	}
}

// omitUnchanged returns only the version of a configuration that the caller already has.
//
// Failure guarded against: most long polls end without a change. If each response carried
// the whole document, every instance would receive it every few seconds, which exceeds
// the limit of control traffic when there are many customers.
func omitUnchanged(config *apiv1.Config, knownVersion uint64) *apiv1.Config {
	if config.Version > knownVersion {
		return config
	}
	return &apiv1.Config{Version: config.Version}
}

func configToAPI(config conf.Config) *apiv1.Config {
	accepted := int64(0)
	if !config.Accepted.IsZero() {
		accepted = config.Accepted.UnixMilli()
	}
	return &apiv1.Config{Version: config.Version, Document: config.Text, Author: config.Author, AcceptedUnixMs: accepted}
}
