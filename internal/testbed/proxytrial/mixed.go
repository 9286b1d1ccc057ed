package proxytrial

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cresshub/internal/childprocess"
	"cresshub/internal/testbed/proxystandin"
)

// mixed is the trouble in which several others, drawn by the seed, overlap until the time is over.
const mixed = "mixed"

const (
	// Each round begins that many troubles within roundSpread.
	concurrentFaults = 3
	roundSpread      = 400 * time.Millisecond
	// maxLogStall is how long nobody reads the proxy's log at most.
	maxLogStall = 1500 * time.Millisecond
)

// mixedFaults plays overlapping troubles of servers, discovery and the proxy's own process.
type mixedFaults struct {
	fleet *proxystandin.Fleet
	proxy *childprocess.Process
	file  string // the proxy's configuration
	text  []byte // of that file

	mu         sync.Mutex
	faulty     map[string]bool // servers in trouble
	logStalled bool            // nobody reads the log
}

// injectMixed plays rounds of troubles until ctx ends, and leaves everything well.
func injectMixed(ctx context.Context, f *proxystandin.Fleet, proxy *childprocess.Process, file string,
	seed uint64) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m := &mixedFaults{fleet: f, proxy: proxy, file: file, text: text, faulty: map[string]bool{}}
	rng := rand.New(rand.NewPCG(seed, 5))
	faults := []func(context.Context, *rand.Rand) error{
		m.crash, m.drain, m.pause, m.addWarmingUp, m.failDiscovery, m.reload, m.reloadInvalid,
		m.requestCounters, m.stallLog,
	}
	for ctx.Err() == nil {
		problems := make([]error, concurrentFaults)
		var playing sync.WaitGroup
		for i := range concurrentFaults {
			inject, own := faults[rng.IntN(len(faults))], rand.New(rand.NewPCG(rng.Uint64(), 1))
			delay := time.Duration(rng.Int64N(int64(roundSpread)))
			playing.Go(func() {
				if sleep(ctx, delay) {
					problems[i] = inject(ctx, own)
				}
			})
		}
		playing.Wait()
		if at := slices.IndexFunc(problems, func(err error) bool { return err != nil }); at >= 0 {
			return problems[at]
		}
	}
	return nil
}

func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// reserve reserves a server that is in no trouble, "" where too few are well.
func (m *mixedFaults) reserve(rng *rand.Rand) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.DeleteFunc(m.fleet.Names(), func(name string) bool { return m.faulty[name] })
	if len(names) < 3 {
		return ""
	}
	name := names[rng.IntN(len(names))]
	m.faulty[name] = true
	return name
}

func (m *mixedFaults) release(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.faulty, name)
}

func (m *mixedFaults) crash(ctx context.Context, rng *rand.Rand) error {
	name := m.reserve(rng)
	if name == "" {
		return nil
	}
	defer m.release(name)
	announce, restart := m.fleet.Crash(name)
	sleep(ctx, upTo(rng, 500*time.Millisecond))
	announce()
	sleep(ctx, upTo(rng, time.Second))
	return restart()
}

// drain has a server leave, and another one take its place.
func (m *mixedFaults) drain(ctx context.Context, rng *rand.Rand) error {
	name := m.reserve(rng)
	if name == "" {
		return nil
	}
	if _, err := m.fleet.Add(time.Time{}); err != nil {
		return err
	}
	m.fleet.Drain(name)
	if sleep(ctx, proxystandin.DrainGrace+upTo(rng, time.Second)) {
		m.fleet.Terminate(name)
	}
	return nil
}

func (m *mixedFaults) pause(ctx context.Context, rng *rand.Rand) error {
	for range 1 + rng.IntN(3) {
		name := m.reserve(rng)
		if name == "" {
			return nil
		}
		m.fleet.Pause(name, 100*time.Millisecond+upTo(rng, 500*time.Millisecond))
		sleep(ctx, upTo(rng, 300*time.Millisecond))
		m.release(name)
	}
	return nil
}

func (m *mixedFaults) addWarmingUp(context.Context, *rand.Rand) error {
	if len(m.fleet.Names()) > 2*concurrentFaults+10 {
		return nil
	}
	_, err := m.fleet.Add(time.Now())
	return err
}

func (m *mixedFaults) failDiscovery(ctx context.Context, rng *rand.Rand) error {
	m.fleet.Discovery.Fail(true)
	sleep(ctx, upTo(rng, time.Second))
	m.fleet.Discovery.Fail(false)
	return nil
}

// reload has the proxy read its configuration again, several times at once, as it is.
func (m *mixedFaults) reload(ctx context.Context, rng *rand.Rand) error {
	for range 1 + rng.IntN(8) {
		if err := m.proxy.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		sleep(ctx, upTo(rng, 20*time.Millisecond))
	}
	return nil
}

// reloadInvalid writes the file in pieces, and has the proxy read it at any moment.
func (m *mixedFaults) reloadInvalid(ctx context.Context, rng *rand.Rand) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	half := rng.IntN(len(m.text))
	for _, text := range [][]byte{m.text[:half], []byte(strings.Repeat("nonsense ", 10)), m.text} {
		if err := os.WriteFile(m.file, text, 0o600); err != nil {
			return err
		}
		if err := m.proxy.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		sleep(ctx, upTo(rng, 20*time.Millisecond))
	}
	return nil
}

func (m *mixedFaults) requestCounters(context.Context, *rand.Rand) error {
	return m.proxy.Signal(syscall.SIGUSR1)
}

// stallLog has nobody read the proxy's log for a while.
func (m *mixedFaults) stallLog(ctx context.Context, rng *rand.Rand) error {
	if !m.setLogStalled(true) {
		return nil
	}
	defer m.setLogStalled(false)
	m.proxy.PauseLog()
	sleep(ctx, upTo(rng, maxLogStall))
	m.proxy.ResumeLog()
	return nil
}

// setLogStalled notes whether the log is held, and tells whether that is news.
func (m *mixedFaults) setLogStalled(stalled bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.logStalled != stalled
	m.logStalled = stalled
	return changed
}
