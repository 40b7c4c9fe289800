package quota

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Unlimited is the value of a field of a limit that is not limited.
const Unlimited int64 = -1

// Config is the quota part of a configuration version.
type Config struct {
	// Version increases with each accepted configuration.
	Version uint64 `cbor:"1,keyasint"`
	// Generation counts the initial allocations of slots. It grows only when an
	// operator has the slots allocated again, because a data centre was added
	// permanently or lost with its state. All ownership and transfers of
	// earlier generations are then invalid.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// InitialOwners are the data centres among which the slots are divided at
	// first, in any order. They must be the same in every version of a
	// generation and for all data centres; if two data centres differ, a slot
	// can have two owners. Other data centres start without slots and get them
	// by transfers.
	InitialOwners []string `cbor:"3,keyasint"`
	// Limits has the limits by customer. A customer without a limit may use
	// nothing.
	Limits map[string]placement.Resources `cbor:"4,keyasint,omitempty"`
}

// Errors of Check and Configure. These two methods return no other errors.
var (
	// ErrOldVersion: the version or the generation is lower than the one in
	// force.
	ErrOldVersion = errors.New("quota: configuration version is older than the one in force")
	// ErrInitialOwners: the initial owners differ from those of the generation,
	// or there are none, too many, or duplicates.
	ErrInitialOwners = errors.New("quota: initial owners differ from those of the generation, or are none, too many or duplicate")
	// ErrLimit: a limit is negative and not Unlimited.
	ErrLimit = errors.New("quota: limit is negative")
)

// Check returns an error if next may not replace c, the configuration in force. Call
// it before accepting a configuration, so that no data centre gets one that it must
// refuse.
func (c Config) Check(next Config) error {
	if next.Version < c.Version || next.Generation < c.Generation {
		return ErrOldVersion
	}
	owners := slices.Sorted(slices.Values(next.InitialOwners))
	if c.Version != 0 && next.Generation == c.Generation && !slices.Equal(owners, slices.Sorted(slices.Values(c.InitialOwners))) {
		return ErrInitialOwners
	}
	distinct := slices.Compact(owners)
	if len(distinct) == 0 || len(distinct) > Slots || len(distinct) != len(next.InitialOwners) {
		return ErrInitialOwners
	}
	for customer, limit := range next.Limits {
		if min(limit.CPU, limit.Memory, limit.Accelerators) < Unlimited {
			return errors.Wrapf(ErrLimit, "customer %q", customer)
		}
	}
	return nil
}
