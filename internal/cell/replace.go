package cell

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
)

// ReplaceInstance permanently replaces a lost instance by an empty one with a new name
// and address. It changes one member at a time, so that a quorum exists at each step: the
// new instance joins as a learner and becomes a voter once it has caught up, and only then
// is the old instance removed. If ReplaceInstance is interrupted and called again, it
// continues at the step that was interrupted.
func (c *Cell) ReplaceInstance(ctx context.Context, r *apiv1.ReplaceInstanceRequest) (*apiv1.ReplaceInstanceResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	if r.OldInstance == "" || r.NewInstance == "" || r.NewAddress == "" || r.OldInstance == r.NewInstance {
		return nil, fault.Field("new_instance", "two different instances and the new one's address are needed")
	}
	name := c.groupName
	if r.Configuration {
		name = configGroup
	}
	group := c.groups[name]
	if group == nil {
		return nil, fault.New(fault.Unavailable, "this instance doesn't vote on %s", name)
	}
	if status := group.Status(); !status.CanDecide {
		return nil, rpc.NotLeader(rpc.LeaderIn(status))
	}
	added := replica.Member{
		ID: r.NewInstance, Address: r.NewAddress, HasDisk: r.NewHasDisk,
		Witness: !r.Configuration && r.DataCentre != c.groupName,
	}
	for _, step := range []func([]replica.Member) []replica.Member{
		func(m []replica.Member) []replica.Member { return withLearner(m, added) },
		func(m []replica.Member) []replica.Member { return withVoter(m, r.NewInstance) },
		func(m []replica.Member) []replica.Member { return withoutMember(m, r.OldInstance) },
	} {
		before := group.Status().Members
		after := step(slices.Clone(before))
		if slices.Equal(before, after) {
			continue
		}
		if err := changeMembers(ctx, group, after); err != nil {
			return nil, err
		}
	}
	c.base.Events.Record("instance replaced", r.OldInstance+" by "+r.NewInstance, r.OldInstance, r.NewInstance)
	response := &apiv1.ReplaceInstanceResponse{}
	for _, m := range group.Status().Members {
		response.Instances = append(response.Instances, &apiv1.Instance{
			Id: m.ID, DataCentre: c.base.Instance.DataCentre, Address: m.Address, HasDisk: m.HasDisk,
		})
	}
	return response, nil
}

// learnerRetryInterval is the wait before the promotion of a lagging learner is tried
// again.
const learnerRetryInterval = 100 * time.Millisecond

// changeMembers makes one membership change. It retries while a learner has to catch
// up.
func changeMembers(ctx context.Context, group Group, members []replica.Member) error {
	for {
		err := group.ChangeMembership(ctx, members)
		if !errors.Is(err, replica.ErrNotCaughtUp) || ctx.Err() != nil {
			return err
		}
		wait.For(ctx, learnerRetryInterval)
	}
}

// withLearner adds a learner to members, unless members contain it already.
func withLearner(members []replica.Member, added replica.Member) []replica.Member {
	if indexOf(members, added.ID) >= 0 {
		return members
	}
	added.Learner = true
	return append(members, added)
}

// withVoter makes the member with an ID a voter.
func withVoter(members []replica.Member, id string) []replica.Member {
	if i := indexOf(members, id); i >= 0 {
		members[i].Learner = false
	}
	return members
}

func withoutMember(members []replica.Member, id string) []replica.Member {
	return slices.DeleteFunc(members, func(m replica.Member) bool { return m.ID == id })
}

func indexOf(members []replica.Member, id string) int {
	return slices.IndexFunc(members, func(m replica.Member) bool { return m.ID == id })
}
