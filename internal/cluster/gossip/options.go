package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"

	"cresshub/internal/cluster/membership"
)

// Options configure a member; Check returns what is wrong with them.
type Options struct {
	Name          string
	Bind          string   // host:port for gossip, UDP and TCP; port 0 lets the system choose
	Advertise     string   // host:port others reach this member at; "" is Bind
	Seeds         []string // host:port of members to join by
	Label         string   // members of another label are rejected; may be empty
	Version       string   // of the program
	Hall          string   // failure domain
	LedgerAddress string   // host:port of this member's raftgroup.Host; "" if it has none
	ReplicaID     uint64   // of this member's replicas; 0 if it has none

	ProbeInterval         time.Duration // between probes, each of one member
	ProbeTimeout          time.Duration // for the answer to one probe
	GossipInterval        time.Duration // between rounds of gossip
	SuspicionMult         int           // times log10(members) and ProbeInterval: the least time of a suspicion
	RejoinInterval        time.Duration // between attempts to join seeds and recently dead members
	SyncIntervalPerMember time.Duration // between full exchanges of state, times the number of members
	Relay                 string        // host:port of a SOCKS5 relay for all gossip; tests and laboratory only
	Membership            membership.Settings

	// StartTime is the wall time that the incarnation is taken from; zero is now. Tests set a clock back with
	// it.
	StartTime time.Time

	Log *slog.Logger
}

// Check returns an error that names the setting where an option is wrong.
func (o *Options) Check() error {
	if _, _, err := splitHostPort(o.Bind); err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	if o.Advertise != "" {
		if _, port, err := splitHostPort(o.Advertise); err != nil || port == 0 {
			return fmt.Errorf("fleet.advertise: %q is no host and port that others can reach", o.Advertise)
		}
	}
	for _, seed := range o.Seeds {
		if _, port, err := splitHostPort(seed); err != nil || port == 0 {
			return fmt.Errorf("fleet.seeds: %q is no host and port", seed)
		}
	}
	if o.ProbeTimeout >= o.ProbeInterval {
		return fmt.Errorf("fleet.probe_timeout %v must be below fleet.probe %v", o.ProbeTimeout, o.ProbeInterval)
	}
	if o.SyncIntervalPerMember <= 0 {
		return errors.New("fleet.sync_each must be above zero")
	}
	if o.Relay != "" {
		if ip, port, err := splitHostPort(o.Relay); err != nil || port == 0 || ip.To4() == nil {
			return fmt.Errorf("fleet.relay: %q is no IPv4 address and port", o.Relay)
		}
	}
	if err := o.Membership.Check(); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	return nil
}

func splitHostPort(s string) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return nil, 0, err
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, 0, fmt.Errorf("%q is no port", port)
	}
	return ip, int(n), nil
}
