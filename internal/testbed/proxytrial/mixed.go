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
	troublesAtOnce = 3
	roundSpread    = 400 * time.Millisecond
	// longestStall is how long nobody reads the proxy's log at most.
	longestStall = 1500 * time.Millisecond
)

// mixture plays overlapping troubles of servers, discovery and the proxy's own process.
type mixture struct {
	fleet *proxystandin.Fleet
	proxy *childprocess.Process
	file  string // the proxy's configuration
	text  []byte // of that file

	mu   sync.Mutex
	busy map[string]bool // servers in trouble
	held bool            // nobody reads the log
}

// playMixed plays rounds of troubles until ctx ends, and leaves everything well.
func playMixed(ctx context.Context, f *proxystandin.Fleet, proxy *childprocess.Process, file string,
	seed uint64) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m := &mixture{fleet: f, proxy: proxy, file: file, text: text, busy: map[string]bool{}}
	lot := rand.New(rand.NewPCG(seed, 5))
	plays := []func(context.Context, *rand.Rand) error{
		m.crash, m.drain, m.pause, m.cold, m.failDiscovery, m.reload, m.reloadBadly, m.askCounters, m.stallLog,
	}
	for ctx.Err() == nil {
		problems := make([]error, troublesAtOnce)
		var playing sync.WaitGroup
		for i := range troublesAtOnce {
			play, own := plays[lot.IntN(len(plays))], rand.New(rand.NewPCG(lot.Uint64(), 1))
			delay := time.Duration(lot.Int64N(int64(roundSpread)))
			playing.Go(func() {
				if sleep(ctx, delay) {
					problems[i] = play(ctx, own)
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

func upTo(lot *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(lot.Int64N(int64(most)))
}

// take reserves a server that is in no trouble, "" where too few are well.
func (m *mixture) take(lot *rand.Rand) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.DeleteFunc(m.fleet.Names(), func(name string) bool { return m.busy[name] })
	if len(names) < 3 {
		return ""
	}
	name := names[lot.IntN(len(names))]
	m.busy[name] = true
	return name
}

func (m *mixture) release(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, name)
}

func (m *mixture) crash(ctx context.Context, lot *rand.Rand) error {
	name := m.take(lot)
	if name == "" {
		return nil
	}
	defer m.release(name)
	gone, again := m.fleet.Crash(name)
	sleep(ctx, upTo(lot, 500*time.Millisecond))
	gone()
	sleep(ctx, upTo(lot, time.Second))
	return again()
}

// drain has a server leave, and another one take its place.
func (m *mixture) drain(ctx context.Context, lot *rand.Rand) error {
	name := m.take(lot)
	if name == "" {
		return nil
	}
	if _, err := m.fleet.Add(time.Time{}); err != nil {
		return err
	}
	m.fleet.Drain(name)
	if sleep(ctx, proxystandin.DrainGrace+upTo(lot, time.Second)) {
		m.fleet.Leave(name)
	}
	return nil
}

func (m *mixture) pause(ctx context.Context, lot *rand.Rand) error {
	for range 1 + lot.IntN(3) {
		name := m.take(lot)
		if name == "" {
			return nil
		}
		m.fleet.Pause(name, 100*time.Millisecond+upTo(lot, 500*time.Millisecond))
		sleep(ctx, upTo(lot, 300*time.Millisecond))
		m.release(name)
	}
	return nil
}

func (m *mixture) cold(context.Context, *rand.Rand) error {
	if len(m.fleet.Names()) > 2*troublesAtOnce+10 {
		return nil
	}
	_, err := m.fleet.Add(time.Now())
	return err
}

func (m *mixture) failDiscovery(ctx context.Context, lot *rand.Rand) error {
	m.fleet.Discovery.Fail(true)
	sleep(ctx, upTo(lot, time.Second))
	m.fleet.Discovery.Fail(false)
	return nil
}

// reload has the proxy read its configuration again, several times at once, as it is.
func (m *mixture) reload(ctx context.Context, lot *rand.Rand) error {
	for range 1 + lot.IntN(8) {
		if err := m.proxy.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		sleep(ctx, upTo(lot, 20*time.Millisecond))
	}
	return nil
}

// reloadBadly writes the file in pieces, and has the proxy read it at any moment.
func (m *mixture) reloadBadly(ctx context.Context, lot *rand.Rand) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	half := lot.IntN(len(m.text))
	for _, text := range [][]byte{m.text[:half], []byte(strings.Repeat("nonsense ", 10)), m.text} {
		if err := os.WriteFile(m.file, text, 0o600); err != nil {
			return err
		}
		if err := m.proxy.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		sleep(ctx, upTo(lot, 20*time.Millisecond))
	}
	return nil
}

func (m *mixture) askCounters(context.Context, *rand.Rand) error {
	return m.proxy.Signal(syscall.SIGUSR1)
}

// stallLog has nobody read the proxy's log for a while.
func (m *mixture) stallLog(ctx context.Context, lot *rand.Rand) error {
	if !m.hold(true) {
		return nil
	}
	defer m.hold(false)
	m.proxy.PauseLog()
	sleep(ctx, upTo(lot, longestStall))
	m.proxy.ResumeLog()
	return nil
}

// hold notes whether the log is held, and tells whether that is news.
func (m *mixture) hold(held bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := m.held != held
	m.held = held
	return news
}
