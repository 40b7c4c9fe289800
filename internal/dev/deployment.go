// Package dev runs a whole deployment in one process over loopback sockets, with
// stand-in workers and minions, and runs the deployment's sample work. It implements
// `bilberry dev` and is the base of the end-to-end tests.
package dev

import (
	"context"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/examples"
	"github.com/bilberryferry/bilberryferry/internal/cell"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/entry"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// Deployment is a deployment whose processes run as goroutines of this process.
type Deployment struct {
	// Name is the name of the example deployment.
	Name     string
	Settings *settings.Settings
	Tokens   *settings.TokenSet
	// Folder holds the deployment's files and data.
	Folder string

	network Network
	logs    io.Writer
	mu      sync.Mutex
	// stopFuncs holds the function that stops each process, by INSTANCE/ROLE.
	stopFuncs map[string]func()
	processes sync.WaitGroup
	// failures receives the errors of processes. Its buffer holds one error per process, so
	// that a send never blocks.
	failures chan error
}

// Unpack writes the named example deployment into a folder, loads its settings and
// replaces the addresses by free ports of 127.0.0.1. It returns the listeners on these
// ports, by INSTANCE/ROLE, for Start.
func Unpack(name, folder string) (*Deployment, map[string]net.Listener, error) {
	return unpack(name, folder, Loopback{})
}

// unpack implements Unpack for any network, whose listeners replace the addresses.
func unpack(name, folder string, network Network) (*Deployment, map[string]net.Listener, error) {
	files, err := fs.Sub(examples.Files, name)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "example %s", name)
	}
	if err := os.CopyFS(folder, files); err != nil {
		return nil, nil, errors.Wrapf(err, "unpack example %s", name)
	}
	s, err := settings.Load(filepath.Join(folder, name+".toml"))
	if err != nil {
		return nil, nil, err
	}
	tokens, err := s.LoadTokens()
	if err != nil {
		return nil, nil, err
	}
	listeners, err := assignListeners(s, folder, network)
	if err != nil {
		return nil, nil, err
	}
	d := &Deployment{
		Name: name, Settings: s, Tokens: tokens, Folder: folder, network: network,
		stopFuncs: make(map[string]func()), failures: make(chan error, len(listeners)),
	}
	return d, listeners, nil
}

// assignListeners opens a listener for every process and writes its address into the
// settings. It removes the admin addresses and moves the data folders into the given
// folder. The result is keyed by INSTANCE/ROLE.
func assignListeners(s *settings.Settings, folder string, network Network) (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener)
	for i := range s.Instances {
		instance := &s.Instances[i]
		instance.EntryAdmin, instance.CellAdmin = "", ""
		if instance.DataFolder != "" {
			instance.DataFolder = filepath.Join(folder, "data", instance.ID)
		}
		for role, address := range map[string]*string{"entry": &instance.Entry, "cell": &instance.Cell} {
			if *address == "" {
				continue
			}
			listener, err := network.Listen()
			if err != nil {
				return nil, err
			}
			*address = listener.Addr().String()
			listeners[instance.ID+"/"+role] = listener
		}
	}
	return listeners, nil
}

// Start starts every process of the deployment. The processes run until ctx ends and write
// their logs to logs. Their errors are returned by Wait.
func (d *Deployment) Start(ctx context.Context, listeners map[string]net.Listener, logs io.Writer) error {
	d.logs = logs
	for _, instance := range d.Settings.Instances {
		for _, role := range []string{"cell", "entry"} {
			listener := listeners[instance.ID+"/"+role]
			if listener == nil {
				continue
			}
			if err := d.startProcess(ctx, instance.ID, role, listener); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProcess runs one process in the background and sends its error to d.failures.
func (d *Deployment) startProcess(ctx context.Context, instance, role string, listener net.Listener) error {
	daemonBase, err := daemon.NewBase(d.Settings, instance, role, d.logs, d.network.Dial)
	if err != nil {
		return err
	}
	daemonBase.Listener, daemonBase.LogClock = listener, d.network.LogClock()
	serve := map[string]func(context.Context, *daemon.Base) error{"cell": cell.Serve, "entry": entry.Serve}[role]
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	d.mu.Lock()
	d.stopFuncs[instance+"/"+role] = func() {
		cancel()
		<-done
	}
	d.mu.Unlock()
	d.processes.Go(func() {
		defer close(done)
		if err := serve(ctx, daemonBase); err != nil {
			d.failures <- errors.Wrapf(err, "%s/%s", instance, role)
		}
	})
	return nil
}

// Stop shuts down one process, named INSTANCE/ROLE, gracefully and waits for its end.
func (d *Deployment) Stop(process string) {
	d.mu.Lock()
	stop := d.stopFuncs[process]
	d.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Wait waits until all processes have ended and returns the first error.
func (d *Deployment) Wait() error {
	d.processes.Wait()
	select {
	case err := <-d.failures:
		return err
	default:
		return nil
	}
}

// DataCentres returns the data centres, with the addresses of their entry instances, to
// which stand-ins connect.
func (d *Deployment) DataCentres() []standin.DataCentre {
	var dataCentres []standin.DataCentre
	for _, name := range d.Settings.DataCentres() {
		dataCentre := standin.DataCentre{Name: name}
		for _, instance := range d.Settings.InDataCentre(name) {
			if instance.Entry != "" {
				dataCentre.Entries = append(dataCentre.Entries, instance.Entry)
			}
		}
		dataCentres = append(dataCentres, dataCentre)
	}
	return dataCentres
}

// Entries returns the addresses of all entry instances.
func (d *Deployment) Entries() []string {
	var entries []string
	for _, dataCentre := range d.DataCentres() {
		entries = append(entries, dataCentre.Entries...)
	}
	return entries
}

// customerToken reads the token of a customer from the file that the settings name.
func (d *Deployment) customerToken(name string) (string, error) {
	for _, customer := range d.Settings.Tokens.Customers {
		if customer.Name == name {
			return settings.ReadToken(customer.File)
		}
	}
	return "", errors.Newf("no customer %q in the settings", name)
}

// readyTimeout bounds the time until a deployment has elected its leaders and serves its
// workers, minions and callers.
const readyTimeout = 15 * time.Second
