// Package directory finds the leader of a data centre and calls it. It remembers the
// last leader, calls the leader that an instance names in its error, and tries the other
// instances when one doesn't respond.
package directory

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// Timing of the search for a leader.
const (
	// AttemptTimeout bounds one attempt of a call. It is needed because the connections of
	// a paused or partitioned instance stay open although the instance doesn't respond.
	AttemptTimeout = time.Second
	// roundDelay is the mean delay between two rounds of attempts over all instances. An
	// election takes as long as a few rounds.
	roundDelay = 60 * time.Millisecond
)

// ConfigurationLog is the data centre name under which a Directory has the voters of the
// configuration log.
const ConfigurationLog = ""

// Directory knows the instances of every data centre.
type Directory struct {
	client *http.Client

	mu sync.Mutex
	// instances holds the instances of each data centre, leader the ID of its last known
	// leader.
	instances map[string][]settings.Instance
	leader    map[string]string
}

// New returns a directory of the instances in the settings.
func New(s *settings.Settings, client *http.Client) *Directory {
	d := &Directory{client: client, instances: make(map[string][]settings.Instance), leader: make(map[string]string)}
	for _, dataCentre := range s.DataCentres() {
		for _, instance := range s.InDataCentre(dataCentre) {
			if instance.Cell != "" {
				d.instances[dataCentre] = append(d.instances[dataCentre], instance)
			}
		}
	}
	d.instances[ConfigurationLog] = s.ConfigVoters()
	return d
}

// Client returns the HTTP client for the calls.
func (d *Directory) Client() *http.Client { return d.client }

// HasDataCentre reports whether a data centre of that name exists.
func (d *Directory) HasDataCentre(dataCentre string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.instances[dataCentre]) > 0
}

// Call makes one call to the instance at the base URL base.
type Call func(ctx context.Context, base string) error

// CallOptions bound the search for a leader.
type CallOptions struct {
	// SearchTimeout is how long to search for a leader. Zero allows one round over the
	// instances, which ends at the first instance that names another leader.
	SearchTimeout time.Duration
	// AttemptTimeout bounds one attempt; zero means the constant AttemptTimeout.
	AttemptTimeout time.Duration
}

// CallLeader makes a call to the leader of a data centre. It repeats a call whose
// response was lost, so the call must be idempotent: every mutating call of the API is,
// by its request ID or by the numbers it carries. Errors: NotFound for a data centre
// without instances, Unavailable when no leader responds in time, and any other fault of
// the call.
func (d *Directory) CallLeader(ctx context.Context, dataCentre string, options CallOptions, call Call) error {
	if options.AttemptTimeout == 0 {
		options.AttemptTimeout = AttemptTimeout
	}
	deadline := time.Now().Add(options.SearchTimeout)
	var lastErr error
	for {
		for _, instance := range d.inCallOrder(dataCentre) {
			err := d.attempt(ctx, instance, options.AttemptTimeout, call)
			if err == nil {
				d.setLeader(dataCentre, instance.ID)
				return nil
			}
			if !fault.Is(err, fault.Unavailable) {
				return err
			}
			lastErr = err
			if d.followLeaderHint(dataCentre, err) {
				break
			}
			if ctx.Err() != nil {
				return lastErr
			}
		}
		if lastErr == nil {
			return fault.New(fault.NotFound, "no instances for %s", groupName(dataCentre))
		}
		if !waitForNextRound(ctx, deadline) {
			return fault.New(fault.Unavailable, "%s has no leader that responds: %s", groupName(dataCentre), fault.From(lastErr).Message)
		}
	}
}

func groupName(dataCentre string) string {
	if dataCentre == ConfigurationLog {
		return "the configuration log"
	}
	return "data centre " + dataCentre
}

// waitForNextRound waits between two rounds. It returns false when the deadline is too close
// or ctx ends.
func waitForNextRound(ctx context.Context, deadline time.Time) bool {
	delay := roundDelay/2 + rand.N(roundDelay)
	if time.Now().Add(delay).After(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

func (d *Directory) attempt(ctx context.Context, instance settings.Instance, timeout time.Duration, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, "http://"+instance.Cell)
}

// inCallOrder returns the instances of a data centre, the last known leader first.
func (d *Directory) inCallOrder(dataCentre string) []settings.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	instances := d.instances[dataCentre]
	ordered := make([]settings.Instance, 0, len(instances))
	for _, instance := range instances {
		if instance.ID == d.leader[dataCentre] {
			ordered = append(ordered, instance)
		}
	}
	for _, instance := range instances {
		if instance.ID != d.leader[dataCentre] {
			ordered = append(ordered, instance)
		}
	}
	return ordered
}

func (d *Directory) setLeader(dataCentre, leader string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader[dataCentre] = leader
}

// followLeaderHint records the leader that an error names. It returns true if it differs
// from the known leader, so that the next round starts with the new leader.
func (d *Directory) followLeaderHint(dataCentre string, err error) bool {
	leader, ok := rpc.LeaderOf(err)
	if !ok || leader.ID == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addUnknownLeader(dataCentre, leader)
	changed := d.leader[dataCentre] != leader.ID
	d.leader[dataCentre] = leader.ID
	return changed
}

// addUnknownLeader adds a leader that the settings don't name: an instance that has replaced
// another one since the settings were read. d.mu must be held.
func (d *Directory) addUnknownLeader(dataCentre string, leader rpc.Leader) {
	known := slices.ContainsFunc(d.instances[dataCentre], func(i settings.Instance) bool { return i.ID == leader.ID })
	if !known && leader.Address != "" {
		d.instances[dataCentre] = append(d.instances[dataCentre], settings.Instance{ID: leader.ID, DataCentre: dataCentre, Cell: leader.Address})
	}
}

// CallEach calls every instance of a data centre in parallel, each for at most
// AttemptTimeout, and returns the errors by instance ID, nil for each success.
func (d *Directory) CallEach(ctx context.Context, dataCentre string, call func(ctx context.Context, instance settings.Instance, base string) error) map[string]error {
	instances := d.inCallOrder(dataCentre)
	results := make([]error, len(instances))
	var calls sync.WaitGroup
	for i, instance := range instances {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, AttemptTimeout)
			defer cancel()
			results[i] = call(ctx, instance, "http://"+instance.Cell)
		})
	}
	calls.Wait()
	errs := make(map[string]error, len(instances))
	for i, instance := range instances {
		errs[instance.ID] = results[i]
	}
	return errs
}
