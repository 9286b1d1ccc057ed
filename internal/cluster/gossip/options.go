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

// Options configure a member; Check returns what is wrong with them. Start copies them: a later change has no
// effect. The defaults named here are those of the client proxy's settings; a zero field stands for itself.
type Options struct {
	// Name is this member's name, unique in the fleet: Start fails where a live member has it.
	Name string
	// Bind is the IP address and port for gossip, by UDP and TCP. With port 0 the system chooses a port.
	Bind string
	// Advertise is the IP address and port at which others reach this member. Empty, the default, is Bind.
	Advertise string
	// Seeds are the gossip addresses of members to join by; one that answers is enough. Empty, the default, this
	// member waits until others join it.
	Seeds []string
	// Label is the fleet's name; "cresshub" by default, and may be empty. Datagrams and streams with another one
	// are rejected and counted.
	Label string
	// Version is that of the program, for the others' pages.
	Version string
	// Hall is this member's failure domain, which package placement spreads replicas over; "" by default.
	Hall string
	// LedgerAddress is the host:port of this member's raftgroup.Host; "" if it has none.
	LedgerAddress string
	// ReplicaID is the ID of this member's replicas; 0 if it has none.
	ReplicaID uint64

	// ProbeInterval is the time between probes, each of one member; 1 s by default. The shorter, the sooner a
	// failure is seen, and the more datagrams are sent.
	ProbeInterval time.Duration
	// ProbeTimeout is how long the answer to a probe is waited for before other members are asked to probe; 500
	// ms by default. Below ProbeInterval.
	ProbeTimeout time.Duration
	// GossipInterval is the time between messages of gossip; 200 ms by default.
	GossipInterval time.Duration
	// SuspicionMult, times log10 of the number of members (1 at least) and ProbeInterval, is the least time
	// after which a suspect counts as dead; 4 by default. Without confirmations by other members it takes up to
	// six times as long.
	SuspicionMult int
	// RejoinInterval is the time between attempts to join a seed and a recently dead member, give or take a
	// quarter; 5 s by default.
	RejoinInterval time.Duration
	// SyncIntervalPerMember, times the number of members, is the time between exchanges of full states with a
	// random member, give or take a quarter; 1 s by default. Above zero.
	SyncIntervalPerMember time.Duration
	// Relay is the IPv4 address and port of a SOCKS5 relay for all outbound gossip, for tests and the laboratory
	// alone. Empty, the default, sends directly.
	Relay string
	// Membership are the settings of the view.
	Membership membership.Settings

	// StartTime is the wall time that the incarnation is taken from; zero, the default, is now. Tests set a
	// clock back with it.
	StartTime time.Time

	// Log takes the messages of the member, and those of memberlist at debug. It must not be nil.
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

// splitHostPort splits an IP address and a port.
func splitHostPort(address string) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, 0, err
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", host)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, 0, fmt.Errorf("%q is no port", port)
	}
	return ip, int(number), nil
}
