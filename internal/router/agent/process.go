package agent

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
	"cresshub/internal/stallclock"
)

// process holds what every part of the agent may need: the identity, settings and clock of this process, the
// network and files of its machine, its log and its metrics. It depends on no part. Its methods and its
// metrics are safe for concurrent use and take no lock.
type process struct {
	// Set by New and not changed later.
	settings *agentsettings.Settings
	id       string // of this process's record in the directory
	started  time.Time
	network  transport.Network
	files    segmentlog.FS
	log      zerolog.Logger
	clock    *stallclock.Clock // measures the stalls of this process

	// Safe for concurrent use without a lock.
	seedList     atomic.Pointer[[]string]
	shuttingDown atomic.Bool
	metrics      agentMetrics
}

// newProcess returns a process with a new random id.
func newProcess(settings *agentsettings.Settings, log zerolog.Logger) *process {
	p := &process{settings: settings, log: log, network: transport.HostNetwork{}, files: segmentlog.OSFS{},
		id: settings.IP + "-" + randomID(), started: time.Now()}
	p.clock = stallclock.New(p.recordStall)
	p.seedList.Store(&settings.Seeds)
	return p
}

// recordStall records a stall of this process that has ended.
func (p *process) recordStall(length time.Duration) {
	p.metrics.stalls.Add(1)
	p.metrics.stalledMs.Add(length.Milliseconds())
	if length >= minLoggedStall {
		p.log.Warn().Dur("gap_ms", length).Msg("agent: process stalled")
	}
}

// minLoggedStall is the shortest stall that is logged.
const minLoggedStall = 800 * time.Millisecond

// remaining returns the rest of a timeout that began at from, a time on the clock of now. The timeout counts
// only time in which this process runs, and does not end within a short time after a stall, in which the
// process reads what has arrived meanwhile.
func (p *process) remaining(from, timeout time.Duration) time.Duration {
	return p.clock.Remaining(p.started.Add(from), timeout)
}

// now returns the time on the monotonic clock since the process started.
func (p *process) now() time.Duration { return time.Since(p.started) }

// seeds returns the seeds, as last read from the settings file: the control addresses of some proxies.
func (p *process) seeds() []string { return *p.seedList.Load() }

func (p *process) isShuttingDown() bool { return p.shuttingDown.Load() }

// isBootstrapper reports whether this process proposes the first view of a new fleet. The first seed does so.
func (p *process) isBootstrapper() bool {
	return p.settings.FirstStart && len(p.settings.Seeds) > 0 && hostOf(p.settings.Seeds[0]) == p.settings.IP
}

// peerAddress returns the address at which the process on a machine listens for other processes.
func (p *process) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(p.settings.InnerPorts[0]))
}

// hello returns the message that identifies this process at the start of a connection to another process.
func (p *process) hello() []byte { return peerproto.Encode(&peerproto.Hello{ID: p.id}) }

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
}
