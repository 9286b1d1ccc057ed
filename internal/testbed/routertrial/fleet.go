package routertrial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/stallclock"
	"cresshub/internal/testbed/routerstandin"
)

const (
	// catchUp is how long a machine counts as lost after it has returned.
	catchUp = 4 * time.Second
	// firstConfigTimeout bounds how long the operator sends the first configuration.
	firstConfigTimeout = 30 * time.Second
	// readyTimeout bounds how long it may take until all machines are ready.
	readyTimeout = 30 * time.Second
	// clientsPerZone is how many clients each zone has.
	clientsPerZone = 6
	// impatientEvery: one client in so many ignores Retry-After.
	impatientEvery = 8
	// noKeepAliveEvery: one client in so many opens a connection for each request.
	noKeepAliveEvery = 3
)

// Options describe a trial.
type Options struct {
	Program  string        // path of the program that has the router role
	Duration time.Duration // how long clients send
	Rate     float64       // requests a second of all clients together
	Fault    string        // "", or one of Faults
	Seed     uint64
	Log      io.Writer // gets the logs of all processes, if set
	// Large has four machines in each zone, two of them with a disk, and tolerates the loss of two, in place of
	// two machines, one with a disk, and the loss of one.
	Large bool
	// FaultInjection starts processes that take faults from their standard input (package faultinject).
	FaultInjection bool
	// LogLevel is the minimum level that the processes log, "" for the default.
	LogLevel string
	// OnProgress is called a few times a second while clients send, if it is set.
	OnProgress func(Progress)
}

// shape is how many machines there are in each zone, how many of them have a disk, and how many of those may
// be lost at once.
type shape struct{ machines, disks, tolerated int }

func (o *Options) shape() shape {
	if o.Large {
		return shape{machines: 4, disks: 2, tolerated: 2}
	}
	return shape{machines: 2, disks: 1, tolerated: 1}
}

// Fleet is a small fleet of processes on loopback, with stand-ins for all around it. Its methods may be
// called from any goroutine, but Close, Run and the start of all machines only once at a time.
type Fleet struct {
	Machines     []*Machine
	Observations *routerstandin.Observations
	Operator     *routerstandin.Operator
	Entry        *routerstandin.Entry

	options Options
	network *network
	// seedMachines are those that the settings files name; they change only while no process starts.
	seedMachines []*Machine
	dir          string
	requests     atomic.Int64 // numbers the requests of all loads
	// droppedPermille is how many in a thousand responses of the fleet to servers and operators are dropped.
	droppedPermille atomic.Int64
	stop            context.CancelFunc
	background      sync.WaitGroup // goroutines that run until Close

	logMu sync.Mutex

	stalls *stallclock.Clock // bounds on what others do count the time in which this process runs

	eventsMu  sync.Mutex
	startedAt time.Time // when clients began to send
	events    []string

	serversMu sync.Mutex
	servers   []*routerstandin.Server     // running
	ended     []routerstandin.ServerTally // of those that have ended
	clients   []*routerstandin.Client
}

// StartFleet starts the machines of each zone, of which the first have a disk, and servers, has the operator
// send the first configuration, and waits until every machine is ready and knows every server.
func StartFleet(ctx context.Context, options Options) (*Fleet, error) {
	background, stop := context.WithCancel(context.Background())
	f := &Fleet{options: options, stop: stop, Observations: routerstandin.NewObservations(bounds),
		stalls: stallclock.New(nil)}
	f.background.Go(func() { f.stalls.Run(background.Done()) })
	f.Observations.UseStallClock(f.stalls)
	if err := f.start(ctx, background); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx, background context.Context) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "cresshub-fleet-try-"); err != nil {
		return err
	}
	if f.network, err = reserveNetwork(f.options.shape().machines*len(zones), len(serverPlan)); err != nil {
		return err
	}
	f.addMachines()
	if err := f.StartMachines(ctx, true); err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	f.Operator = f.newOperator()
	f.Entry = routerstandin.NewEntry(f.proxies())
	f.background.Go(func() { f.Entry.Run(background) })
	f.addClients()
	bounded, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	if err := f.Operator.Put(bounded, firstConfiguration()); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

// Close ends every process and stand-in, and removes all files.
func (f *Fleet) Close() {
	f.stop()
	for _, client := range f.clients {
		client.Close()
	}
	f.stopServers()
	for _, machine := range f.Machines {
		machine.Kill()
	}
	f.background.Wait()
	if f.network != nil {
		f.network.close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // it lies in the folder for temporary files
	}
}

func (f *Fleet) addMachines() {
	shape := f.options.shape()
	for i := range shape.machines * len(zones) {
		zone := zones[i%len(zones)]
		m := &Machine{fleet: f, Zone: zone, HasDisk: i < shape.disks*len(zones), IP: f.network.ip(i + 1)}
		m.Name = fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1)
		m.Front, m.Ready = f.network.address(i+1, frontOffset), f.network.address(i+1, readyOffset)
		m.Control = f.network.address(i+1, controlOffset)
		m.dir = filepath.Join(f.dir, m.Name)
		f.Machines = append(f.Machines, m)
	}
	f.seedMachines = f.WithDisk(true)[:len(zones)]
}

// StartMachines starts the processes of all machines at the same time.
func (f *Fleet) StartMachines(ctx context.Context, firstStart bool) error {
	errs := make([]error, len(f.Machines))
	var starting sync.WaitGroup
	for i, machine := range f.Machines {
		starting.Go(func() { errs[i] = machine.Start(ctx, firstStart) })
	}
	starting.Wait()
	return errors.Join(errs...)
}

// WithDisk returns the machines that have a disk, or those that have none.
func (f *Fleet) WithDisk(disk bool) []*Machine {
	return slices.DeleteFunc(slices.Clone(f.Machines), func(m *Machine) bool { return m.HasDisk != disk })
}

// seeds are the control addresses in the settings file of every process.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, machine := range f.seedMachines {
		seeds = append(seeds, machine.Control)
	}
	return seeds
}

// controls are the control addresses that operators and servers know, whether the machines run or not.
func (f *Fleet) controls() []string {
	var all []string
	for _, machine := range f.Machines {
		all = append(all, machine.Control)
	}
	return all
}

// newOperator returns an operator that misses responses as droppedPermille says.
func (f *Fleet) newOperator() *routerstandin.Operator {
	operator := routerstandin.NewOperator(f.controls, f.Observations)
	operator.DropResponses(f.dropsResponse)
	return operator
}

// dropsResponse draws whether a response of the fleet is dropped.
func (f *Fleet) dropsResponse() bool { return rand.Int64N(1000) < f.droppedPermille.Load() }

func (f *Fleet) proxies() []routerstandin.Proxy {
	var all []routerstandin.Proxy
	for _, machine := range f.Machines {
		all = append(all, machine.proxy())
	}
	return all
}

func (m *Machine) proxy() routerstandin.Proxy {
	return routerstandin.Proxy{Zone: m.Zone, Front: m.Front, Ready: m.Ready}
}

func (f *Fleet) addClients() {
	for i := range clientsPerZone * len(zones) {
		client := routerstandin.NewClient(i, zones[i%len(zones)], f.Entry, f.Observations)
		client.KeepsConns = i%noKeepAliveEvery != 0
		client.Impatient = i%impatientEvery == impatientEvery-1
		f.clients = append(f.clients, client)
	}
}

// NewLoad returns a load of all kinds of requests from all clients.
func (f *Fleet) NewLoad() *routerstandin.Load {
	return routerstandin.NewLoad(routerstandin.LoadOptions{
		Kinds: kinds, Clients: f.clients, Rate: f.options.Rate, Seed: f.options.Seed,
	}, &f.requests)
}

// Notes describes the addresses that the fleet uses, and those that were taken.
func (f *Fleet) Notes() []string {
	where := fmt.Sprintf("machines at %s1 to %s%d, clients' port %d, control port %d", f.network.prefix,
		f.network.prefix, len(f.Machines), f.network.port+frontOffset, f.network.port+controlOffset)
	return append(slices.Clone(f.network.notes), where)
}
