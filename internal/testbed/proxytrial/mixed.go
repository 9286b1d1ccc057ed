package proxytrial

import (
	"cmp"
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

const (
	// Each batch starts that many faults within batchSpread.
	concurrentFaults = 3
	batchSpread      = 400 * time.Millisecond
	// minHealthy is how many servers without a fault there are at least when another one gets a fault.
	minHealthy = 3
	// maxServers is how many servers there are at most when another one joins in warm-up.
	maxServers = 2*concurrentFaults + 10
	// maxLogStall bounds how long the proxy's log is left unread.
	maxLogStall = 1500 * time.Millisecond
)

// mixedFaults injects overlapping faults of servers, discovery and the proxy's own process.
type mixedFaults struct {
	fleet *proxystandin.Fleet
	proxy *childprocess.Process
	file  string // the proxy's configuration
	text  []byte // of that file

	mu         sync.Mutex
	faulty     map[string]bool // servers with a fault
	logStalled bool            // the log is left unread
}

// injectMixed injects batches of faults until ctx ends, and then heals them.
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
		errs := make([]error, concurrentFaults)
		var batch sync.WaitGroup
		for i := range concurrentFaults {
			inject, own := faults[rng.IntN(len(faults))], rand.New(rand.NewPCG(rng.Uint64(), 1))
			delay := time.Duration(rng.Int64N(int64(batchSpread)))
			batch.Go(func() {
				if sleep(ctx, delay) {
					errs[i] = inject(ctx, own)
				}
			})
		}
		batch.Wait()
		if err := cmp.Or(errs...); err != nil {
			return err
		}
	}
	return nil
}

// upTo draws a duration below limit.
func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// reserve reserves a server without a fault; it returns "" if too few are healthy.
func (m *mixedFaults) reserve(rng *rand.Rand) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.DeleteFunc(m.fleet.Names(), func(name string) bool { return m.faulty[name] })
	if len(names) < minHealthy {
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

// drain drains and terminates a server after another one has joined.
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
	if len(m.fleet.Names()) > maxServers {
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

// reload makes the proxy reload its unchanged configuration several times in quick succession.
func (m *mixedFaults) reload(ctx context.Context, rng *rand.Rand) error {
	for range 1 + rng.IntN(8) {
		if err := m.proxy.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		sleep(ctx, upTo(rng, 20*time.Millisecond))
	}
	return nil
}

// reloadInvalid writes truncated and malformed files, then the valid one, with a reload after each.
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

// stallLog leaves the proxy's log unread for a while.
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

// setLogStalled records whether the log is stalled and reports whether that changed.
func (m *mixedFaults) setLogStalled(stalled bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.logStalled != stalled
	m.logStalled = stalled
	return changed
}
