package config

import (
	"net"
	"slices"
	"strings"
	"time"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/settingsfile"
)

// fleet holds the fleet's keys to each other, and to the platform, which bars talk among proxies.
func (k *checker) fleet() {
	f := &k.Fleet
	if f.Bind == "" {
		return
	}
	if k.onPlatform {
		k.Add(k.where("fleet.bind"), "fleet.bind", "the platform bars talk among proxies (EDGE_CONFIG is set); "+
			"leave fleet.bind empty there")
		return
	}
	if f.Timeout >= f.Probe && k.good("fleet.probe", "fleet.probe_timeout") {
		k.Add(k.where("fleet.probe_timeout"), "fleet.probe_timeout", "%s is not below probe %s",
			settingsfile.Short(f.Timeout), settingsfile.Short(f.Probe))
	}
	if f.Forget < f.GoneAfter && k.good("fleet.forget", "fleet.gone_after") {
		k.Add(k.where("fleet.forget"), "fleet.forget", "%s is before gone_after %s", settingsfile.Short(f.Forget),
			settingsfile.Short(f.GoneAfter))
	}
	for _, address := range []string{k.Listen.Address, k.Operator} {
		if address != "" && address == f.Bind && !strings.HasSuffix(address, ":0") {
			k.Add(k.where("fleet.bind"), "fleet.bind", "%q is taken by clients or operators", address)
		}
	}
	for i, seed := range f.Seeds {
		if _, port, err := net.SplitHostPort(seed); err != nil || port == "" || port == "0" {
			k.Add(k.where("fleet.seeds"), "fleet.seeds", "seed %d, %q, is no host and port", i+1, seed)
		} else if seed == f.Bind || seed == f.Advertise {
			k.Add(k.where("fleet.seeds"), "fleet.seeds", "seed %d, %q, is this member itself", i+1, seed)
		}
	}
}

// ledger holds the ledger's keys to each other, to the fleet's and to the platform.
func (k *checker) ledger() {
	l := &k.Ledger
	if l.Bind == "" {
		return
	}
	if k.onPlatform {
		k.Add(k.where("ledger.bind"), "ledger.bind", "the platform bars talk among proxies and keeps no disk "+
			"(EDGE_CONFIG is set); leave ledger.bind empty there")
		return
	}
	if k.Fleet.Bind == "" {
		k.Add(k.where("ledger.bind"), "ledger.bind", "needs fleet.bind: replicas are found by the fleet view")
	}
	if l.Data == "" {
		k.Add(k.where("ledger.bind"), "ledger.data", "is missing; the ledger wants a folder of its own")
	}
	if l.Bind == k.Fleet.Bind && !strings.HasSuffix(l.Bind, ":0") {
		k.Add(k.where("ledger.bind"), "ledger.bind", "%q is taken by fleet.bind", l.Bind)
	}
	if l.Election < 2*l.Heartbeat && k.good("ledger.election", "ledger.heartbeat") {
		k.Add(k.where("ledger.election"), "ledger.election", "%s is below twice heartbeat %s",
			settingsfile.Short(l.Election), settingsfile.Short(l.Heartbeat))
	}
	if l.Replicas == 4 {
		k.Add(k.where("ledger.replicas"), "ledger.replicas", "4 outlive no more losses than 3; 3 or 5 are allowed")
	}
	if l.Expect < l.Replicas && k.good("ledger.expect", "ledger.replicas") {
		k.Add(k.where("ledger.expect"), "ledger.expect", "%d is below replicas %d", l.Expect, l.Replicas)
	}
	if l.Period < l.Flush && k.good("ledger.period", "ledger.flush") {
		k.Add(k.where("ledger.period"), "ledger.period", "%s is below flush %s", settingsfile.Short(l.Period),
			settingsfile.Short(l.Flush))
	}
}

// Does tells whether a chore is among those that the fleet's owner does.
func (o *Owner) Does(chore string) bool { return slices.Contains(o.Chores, chore) }

// What the fleet's owner may do.
const (
	ChoreExport = "export"
	ChoreList   = "list"
)

// LeaseSettings are the owner's lease as package lease wants it.
func (c *Config) LeaseSettings() lease.Settings {
	return lease.Settings{TTL: c.Owner.Lease, Drift: c.Owner.Drift, ElectionTimeout: c.Ledger.Election}
}

// owner holds the owner's keys to each other, to the ledger's and to the platform.
func (k *checker) owner() {
	o := &k.Owner
	if len(o.Chores) == 0 {
		return
	}
	tell := func(key, format string, args ...any) {
		path := "owner." + key
		k.Add(k.where(path, "owner.chores"), path, format, args...)
	}
	if k.onPlatform {
		tell("chores", "the platform bars talk among proxies (EDGE_CONFIG is set); leave owner.chores empty there")
		return
	}
	for _, c := range o.Chores {
		if c != ChoreExport && c != ChoreList {
			tell("chores", "%q is no chore; there are export and list", c)
		}
	}
	if k.Ledger.Bind == "" {
		tell("chores", "needs ledger.bind: leases and what chores leave are kept in the ledger's log")
	}
	if o.Does(ChoreExport) && o.Sink == "" {
		tell("sink", "is missing; export wants the billing sink's host and port")
	}
	if o.Does(ChoreList) && k.Discovery.Address == "" && len(k.Servers) > 0 {
		tell("chores", "list asks discovery, and the servers stand in this file")
	}
	if k.good("owner.lease", "owner.drift", "ledger.election") {
		if err := k.LeaseSettings().Check(); err != nil {
			tell("lease", "%v", err)
		}
	}
	if o.Does(ChoreList) && k.good("owner.list_max_age", "owner.list_poll", "discovery.ask_within") {
		if o.MaxAge > k.Discovery.AskWithin && k.Discovery.AskWithin > 0 {
			tell("list_max_age", "%s is beyond discovery.ask_within %s", settingsfile.Short(o.MaxAge),
				settingsfile.Short(k.Discovery.AskWithin))
		}
		if least := 4 * o.Poll; o.MaxAge < least {
			tell("list_max_age", "%s is below four list_poll, %s", settingsfile.Short(o.MaxAge),
				settingsfile.Short(least))
		}
	}
	if o.MaxAge < o.Lease && o.Does(ChoreList) && k.good("owner.list_max_age", "owner.lease") {
		tell("list_max_age", "%s is below the lease %s: each change of owner would have all ask discovery",
			settingsfile.Short(max(o.MaxAge, time.Millisecond)), settingsfile.Short(o.Lease))
	}
}
