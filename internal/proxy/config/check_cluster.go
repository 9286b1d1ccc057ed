package config

import (
	"net"
	"strings"
	"time"

	"cresshub/internal/settingsfile"
)

// checkFleet checks the fleet's keys against each other, and rejects a fleet on the platform.
func (k *checker) checkFleet() {
	f := &k.Fleet
	if f.Bind == "" {
		return
	}
	if k.rejectOnPlatform("fleet.bind", "traffic between proxies") {
		return
	}
	if f.ProbeTimeout >= f.ProbeInterval && k.valid("fleet.probe", "fleet.probe_timeout") {
		k.Add(k.originOf("fleet.probe_timeout"), "fleet.probe_timeout", "%s is not below probe %s",
			settingsfile.FormatDuration(f.ProbeTimeout), settingsfile.FormatDuration(f.ProbeInterval))
	}
	if f.ForgetAfter < f.GoneAfter && k.valid("fleet.forget", "fleet.gone_after") {
		k.Add(k.originOf("fleet.forget"), "fleet.forget", "%s is before gone_after %s",
			settingsfile.FormatDuration(f.ForgetAfter), settingsfile.FormatDuration(f.GoneAfter))
	}
	for _, address := range []string{k.Listen.Address, k.Operator} {
		if address != "" && address == f.Bind && !strings.HasSuffix(address, ":0") {
			k.Add(k.originOf("fleet.bind"), "fleet.bind", "%q is taken by listen.address or operator", address)
		}
	}
	for i, seed := range f.Seeds {
		if _, port, err := net.SplitHostPort(seed); err != nil || port == "" || port == "0" {
			k.Add(k.originOf("fleet.seeds"), "fleet.seeds", "seed %d, %q, is no host and port", i+1, seed)
		} else if seed == f.Bind || seed == f.Advertise {
			k.Add(k.originOf("fleet.seeds"), "fleet.seeds", "seed %d, %q, is this member itself", i+1, seed)
		}
	}
}

// rejectOnPlatform returns whether the process runs on the platform, and if so reports key, which must be
// empty there. forbidden is what the platform forbids.
func (k *checker) rejectOnPlatform(key, forbidden string) bool {
	if k.onPlatform {
		k.Add(k.originOf(key), key, "the platform forbids %s (EDGE_CONFIG is set); leave %s empty there",
			forbidden, key)
	}
	return k.onPlatform
}

// checkLedger checks the ledger's keys against each other and the fleet's, and rejects a ledger on the
// platform.
func (k *checker) checkLedger() {
	l := &k.Ledger
	if l.Bind == "" {
		return
	}
	if k.rejectOnPlatform("ledger.bind", "traffic between proxies and keeps no disk") {
		return
	}
	if k.Fleet.Bind == "" {
		k.Add(k.originOf("ledger.bind"), "ledger.bind", "needs fleet.bind: the fleet's members locate replicas")
	}
	if l.DataDir == "" {
		k.Add(k.originOf("ledger.bind"), "ledger.data", "is missing; the ledger needs a directory of its own")
	}
	if l.Bind == k.Fleet.Bind && !strings.HasSuffix(l.Bind, ":0") {
		k.Add(k.originOf("ledger.bind"), "ledger.bind", "%q is taken by fleet.bind", l.Bind)
	}
	if l.ElectionTimeout < 2*l.HeartbeatInterval && k.valid("ledger.election", "ledger.heartbeat") {
		k.Add(k.originOf("ledger.election"), "ledger.election", "%s is below twice heartbeat %s",
			settingsfile.FormatDuration(l.ElectionTimeout), settingsfile.FormatDuration(l.HeartbeatInterval))
	}
	if l.Replicas == 4 {
		k.Add(k.originOf("ledger.replicas"), "ledger.replicas",
			"4 replicas survive no more losses than 3; 3 or 5 are allowed")
	}
	if l.BootstrapExpect < l.Replicas && k.valid("ledger.expect", "ledger.replicas") {
		k.Add(k.originOf("ledger.expect"), "ledger.expect", "%d is below replicas %d",
			l.BootstrapExpect, l.Replicas)
	}
	if l.Period < l.FlushInterval && k.valid("ledger.period", "ledger.flush") {
		k.Add(k.originOf("ledger.period"), "ledger.period", "%s is below flush %s",
			settingsfile.FormatDuration(l.Period), settingsfile.FormatDuration(l.FlushInterval))
	}
}

// checkOwner checks the keys of the singleton roles against each other, the ledger's and discovery's, and
// rejects such roles on the platform.
func (k *checker) checkOwner() {
	o := &k.Owner
	if len(o.Roles) == 0 {
		return
	}
	if k.rejectOnPlatform("owner.chores", "traffic between proxies") {
		return
	}
	for _, role := range o.Roles {
		if role != RoleExport && role != RoleList {
			k.reportOwner("chores", "%q is no singleton role; there are export and list", role)
		}
	}
	if k.Ledger.Bind == "" {
		k.reportOwner("chores", "needs ledger.bind: leases and the state of roles are in the ledger's log")
	}
	if o.HasRole(RoleExport) && o.Sink == "" {
		k.reportOwner("sink", "is missing; export needs the billing sink's host and port")
	}
	if o.HasRole(RoleList) && k.Discovery.Address == "" && len(k.Servers) > 0 {
		k.reportOwner("chores", "list queries discovery, but [[server]] tables define the servers")
	}
	if k.valid("owner.lease", "owner.drift", "ledger.election") {
		if err := k.LeaseSettings().Check(); err != nil {
			k.reportOwner("lease", "%v", err)
		}
	}
	if o.HasRole(RoleList) {
		k.checkListAge()
	}
}

// checkListAge checks owner.list_max_age, the age up to which the owner's list is used.
func (k *checker) checkListAge() {
	o := &k.Owner
	if k.valid("owner.list_max_age", "owner.list_poll", "discovery.ask_within") {
		if o.ListMaxAge > k.Discovery.AskWithin && k.Discovery.AskWithin > 0 {
			k.reportOwner("list_max_age", "%s is beyond discovery.ask_within %s",
				settingsfile.FormatDuration(o.ListMaxAge), settingsfile.FormatDuration(k.Discovery.AskWithin))
		}
		if minAge := 4 * o.ListPollInterval; o.ListMaxAge < minAge {
			k.reportOwner("list_max_age", "%s is below four list_poll, %s",
				settingsfile.FormatDuration(o.ListMaxAge), settingsfile.FormatDuration(minAge))
		}
	}
	if o.ListMaxAge < o.LeaseTTL && k.valid("owner.list_max_age", "owner.lease") {
		k.reportOwner("list_max_age",
			"%s is below the lease %s: all members would query discovery after each change of owner",
			settingsfile.FormatDuration(max(o.ListMaxAge, time.Millisecond)), settingsfile.FormatDuration(o.LeaseTTL))
	}
}

// reportOwner reports a mistake in a key of the section owner, at the origin of owner.chores if the key
// itself is at its default.
func (k *checker) reportOwner(key, format string, args ...any) {
	path := "owner." + key
	k.Add(k.originOf(path, "owner.chores"), path, format, args...)
}
