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

// Options configure a member; Check validates them. Start copies them: a later change has no effect. The
// defaults named here are those of the client proxy's settings; Start does not replace a zero field by a
// default.
type Options struct {
	// Name is this member's name, unique in the fleet: Start fails if a live member has it.
	Name string
	// Bind is the IP address and port for gossip, by UDP and TCP. With port 0 the system chooses a port.
	Bind string
	// Advertise is the IP address and port at which others reach this member. If empty, the default,
	// they use Bind.
	Advertise string
	// Seeds are the gossip addresses of members to join by; one that answers is enough. If empty, the
	// default, this member waits until others join it.
	Seeds []string
	// Label is the fleet's name; "cresshub" by default, and may be empty. Datagrams and streams with another
	// label are rejected and counted.
	Label string
	// Version is the program's version, which the other members show on their pages.
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
	// ProbeTimeout is how long this member waits for the response to a probe before it asks other members to
	// probe the same one; 500 ms by default. It must be below ProbeInterval.
	ProbeTimeout time.Duration
	// GossipInterval is the time between rounds of gossip; 200 ms by default.
	GossipInterval time.Duration
	// SuspicionMult, times log10 of the number of members (1 at least) and ProbeInterval, is the shortest time
	// after which a suspect counts as dead; 4 by default. Without confirmations by other members it takes up to
	// six times as long.
	SuspicionMult int
	// RejoinInterval is the time between attempts to join a seed and a recently dead member, varied at random by
	// up to a quarter either way; 5 s by default.
	RejoinInterval time.Duration
	// SyncIntervalPerMember, times the number of members, is the time between exchanges of full states with a
	// random member, varied at random by up to a quarter either way; 1 s by default. It must be above zero.
	SyncIntervalPerMember time.Duration
	// Relay is the IPv4 address and port of a SOCKS5 relay for all outbound gossip, for tests and cresshub-lab
	// only. If empty, the default, this member sends directly.
	Relay string
	// Membership holds the settings of the view.
	Membership membership.Settings

	// StartTime is the wall-clock time that the incarnation is derived from; zero, the default, means now. Tests
	// use it to simulate a clock that was set back.
	StartTime time.Time

	// Log receives the log messages of this member, and those of memberlist at debug level. It must not be nil.
	Log *slog.Logger
}

// Check returns an error that names the setting of the first invalid option.
func (o *Options) Check() error {
	if _, _, err := splitHostPort(o.Bind); err != nil {
		return fmt.Errorf("fleet.bind: %w", err)
	}
	if o.Advertise != "" {
		if _, port, err := splitHostPort(o.Advertise); err != nil || port == 0 {
			return fmt.Errorf("fleet.advertise: %q is not an IP address and port that others can reach", o.Advertise)
		}
	}
	for _, seed := range o.Seeds {
		if _, port, err := splitHostPort(seed); err != nil || port == 0 {
			return fmt.Errorf("fleet.seeds: %q is not an IP address and port", seed)
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
			return fmt.Errorf("fleet.relay: %q is not an IPv4 address and port", o.Relay)
		}
	}
	if err := o.Membership.Check(); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	return nil
}

// splitHostPort splits address into an IP address and a port.
func splitHostPort(address string) (net.IP, int, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, 0, err
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, fmt.Errorf("%q is not an IP address", host)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, 0, fmt.Errorf("%q is not a port number", port)
	}
	return ip, int(number), nil
}
