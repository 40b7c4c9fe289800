// Package directory finds the leader of a data centre and makes calls on it.
// It remembers who led last, follows what instances say of their leader, and
// tries the others when an instance is silent.
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

// Pace of the search for a leader.
const (
	// AttemptTimeout bounds one try of an ordinary call. A paused or cut-off
	// instance keeps connections open and says nothing.
	AttemptTimeout = time.Second
	// roundDelay is the wait between two rounds over all instances; an election
	// takes some rounds.
	roundDelay = 60 * time.Millisecond
)

// Configuration stands, in place of a data centre's name, for the voters of the
// configuration log.
const Configuration = ""

// Directory knows the instances of every data centre.
type Directory struct {
	client *http.Client

	mu        sync.Mutex
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
	d.instances[Configuration] = s.ConfigVoters()
	return d
}

// Client is the HTTP client that calls go through.
func (d *Directory) Client() *http.Client { return d.client }

// Knows reports whether a data centre of that name exists.
func (d *Directory) HasDataCentre(dataCentre string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.instances[dataCentre]) > 0
}

// Call is one call on the instance at a base URL.
type Call func(ctx context.Context, base string) error

// Effort says how hard Leader tries.
type CallOptions struct {
	// Patience is how long to go on looking for a leader; zero tries every
	// instance once.
	SearchTimeout time.Duration
	// Attempt bounds one try; zero means AttemptTimeout.
	AttemptTimeout time.Duration
}

// Leader makes a call on the leader of a data centre. A call whose answer was
// lost is made again, so it must be safe to repeat: every mutating call of the
// schema is, by its request id or by the numbers it carries.
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
			return fault.New(fault.Unavailable, "%s has no leader that answers: %s", groupName(dataCentre), fault.From(lastErr).Message)
		}
	}
}

func groupName(dataCentre string) string {
	if dataCentre == Configuration {
		return "the configuration log"
	}
	return "data centre " + dataCentre
}

// pause waits between two rounds. It returns false when there is no time left.
func waitForNextRound(ctx context.Context, deadline time.Time) bool {
	wait := roundDelay/2 + rand.N(roundDelay)
	if time.Now().Add(wait).After(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (d *Directory) attempt(ctx context.Context, instance settings.Instance, timeout time.Duration, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, "http://"+instance.Cell)
}

// order lists the instances of a data centre, the last known leader first.
func (d *Directory) inCallOrder(dataCentre string) []settings.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.instances[dataCentre]
	ordered := make([]settings.Instance, 0, len(all))
	for _, instance := range all {
		if instance.ID == d.leader[dataCentre] {
			ordered = append(ordered, instance)
		}
	}
	for _, instance := range all {
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

// follow notes the leader that an error names. It returns true when that is
// another one than was remembered, so that the next round begins with it.
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

// learn adds a leader that the settings don't name: an instance that has
// replaced another since they were read.
func (d *Directory) addUnknownLeader(dataCentre string, leader rpc.Leader) {
	known := slices.ContainsFunc(d.instances[dataCentre], func(i settings.Instance) bool { return i.ID == leader.ID })
	if !known && leader.Address != "" {
		d.instances[dataCentre] = append(d.instances[dataCentre], settings.Instance{ID: leader.ID, DataCentre: dataCentre, Cell: leader.Address})
	}
}

// Each makes a call on every instance of a data centre at once and returns the
// errors by instance id; nil for those that answered.
func (d *Directory) CallEach(ctx context.Context, dataCentre string, call func(ctx context.Context, instance settings.Instance, base string) error) map[string]error {
	instances := d.inCallOrder(dataCentre)
	results := make([]error, len(instances))
	var wait sync.WaitGroup
	for i, instance := range instances {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, AttemptTimeout)
			defer cancel()
			results[i] = call(ctx, instance, "http://"+instance.Cell)
		})
	}
	wait.Wait()
	errs := make(map[string]error, len(instances))
	for i, instance := range instances {
		errs[instance.ID] = results[i]
	}
	return errs
}
