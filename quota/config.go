package quota

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Unlimited in a field of a limit means that there is none.
const Unlimited int64 = -1

// Config is what a configuration version says about quotas.
type Config struct {
	// Version grows with each accepted configuration.
	Version uint64 `cbor:"1,keyasint"`
	// Generation counts the divisions of slots. It grows only when an operator
	// has the slots divided anew, because a data centre was added for good or
	// lost with its state. All ownership and transfers of earlier generations
	// are void then.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
	// Founders are the data centres among which the slots are divided at first,
	// in any order, the same in every version of a generation and for all data
	// centres: where two differ in them, slots are owned twice. Other data centres start with
	// nothing and are given slots on demand.
	InitialOwners []string `cbor:"3,keyasint"`
	// Limits are by customer; a customer that is missing may use nothing.
	Limits map[string]placement.Resources `cbor:"4,keyasint,omitempty"`
}

// Errors of Check and Configure. The list is closed.
var (
	// ErrOldVersion: the version is below the one in force.
	ErrOldVersion = errors.New("quota: configuration version is older than the one in force")
	// ErrInitialOwners: the founders are not the ones of the generation, or they are
	// none, too many, or not different.
	ErrInitialOwners = errors.New("quota: founders don't fit the generation")
	// ErrLimit: a limit is below zero and not Unlimited.
	ErrLimit = errors.New("quota: limit is negative")
)

// Check says whether next may follow c. Whoever accepts configurations calls
// it, so that no data centre meets one that it must refuse.
func (c Config) Check(next Config) error {
	if next.Version < c.Version || next.Generation < c.Generation {
		return ErrOldVersion
	}
	founders := slices.Sorted(slices.Values(next.InitialOwners))
	if c.Version != 0 && next.Generation == c.Generation && !slices.Equal(founders, slices.Sorted(slices.Values(c.InitialOwners))) {
		return ErrInitialOwners
	}
	distinct := slices.Compact(founders)
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
