package gossip

import (
	"math/rand/v2"
	"net"
	"time"

	"cresshub/internal/cluster/membership"
)

// claimed is the address at which another member held our name in the last join, or "".
func (f *Fleet) claimed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflict
}

// answers tells whether a process at address answers to our name. A few probes are sent, each waiting for
// ProbeTimeout: nothing answers where our own earlier life was, which the others just do not know yet.
func (f *Fleet) answers(address string) bool {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	for range 3 {
		if _, err := f.ml.Ping(f.opt.Name, to); err == nil {
			return true
		}
	}
	f.log.Info("fleet: others still hold our name at another address, where nothing answers; joining until "+
		"they take this one", "held", address)
	return false
}

func (f *Fleet) join(addresses []string) int {
	f.mu.Lock()
	f.conflict = ""
	f.mu.Unlock()
	n, err := f.ml.Join(addresses)
	if err != nil && n == 0 {
		f.log.Debug("fleet: join found nobody", "tried", len(addresses), "err", err)
	}
	return n
}

// outdo raises this member's incarnation above that of its earlier life, where others hold that still and the
// wall clock has gone back since: with a lower one what it says of itself would not be heard.
func (f *Fleet) outdo() {
	f.mu.Lock()
	m := *f.meta.Load()
	held := f.earlier
	if held > m.Incarnation {
		m.Incarnation = held + 1
		f.meta.Store(&m)
		f.updates++
	}
	f.mu.Unlock()
	if m.Incarnation != held+1 {
		return
	}
	f.log.Warn("fleet: an earlier life of this member is held with a later start; the wall clock went back",
		"held", held, "incarnation", m.Incarnation)
	if err := f.ml.UpdateNode(f.opt.Probe); err != nil {
		f.log.Debug("fleet: the new incarnation was not told to all", "err", err)
	}
}

// worker does what waits for streams: it exchanges its state now and then, joins seeds and lately dead
// members again, one thing at a time, and beside that asks those that this view holds suspect.
func (f *Fleet) worker() {
	defer f.done.Done()
	rejoin, sync := time.NewTimer(spread(f.opt.Rejoin)), time.NewTimer(spread(f.syncEvery()))
	defer rejoin.Stop()
	defer sync.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-rejoin.C:
			f.rejoin()
			rejoin.Reset(spread(f.opt.Rejoin))
		case <-sync.C:
			f.sync()
			sync.Reset(spread(f.syncEvery()))
		case name := <-f.suspects:
			f.ask(name)
		}
	}
}

// asksMost is how many suspects are asked at once. A member whose own links are slow suspects all others, and
// each exchange takes it several times its links' delay: one after the other the last would be asked after
// its suspicion is over.
const asksMost = 16

// ask asks a suspect, unless it is being asked or too many are.
func (f *Fleet) ask(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asking[name] || len(f.asking) >= asksMost {
		return // it is asked again as long as it is held suspect
	}
	f.asking[name] = true
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.askSuspect(name)
		f.mu.Lock()
		delete(f.asking, name)
		f.mu.Unlock()
	}()
}

// askSuspect exchanges states with a member that this one suspects, twice: by the first it hears of the
// suspicion, by the second this member hears its refutation. Gossip would carry both, but it reaches each
// member only most likely, and a member whose own links are slow is the one to suspect many.
func (f *Fleet) askSuspect(name string) {
	for try := range 2 {
		f.mu.Lock()
		m, ok := f.view.Get(name)
		f.mu.Unlock()
		if !ok || m.Status != membership.Suspect {
			return
		}
		if n, _ := f.ml.Join([]string{m.Address}); n == 0 {
			return
		}
		if try == 0 {
			select {
			case <-time.After(f.opt.ProbeTimeout / 2):
			case <-f.stop:
				return
			}
		}
	}
	f.mu.Lock()
	f.counts.Asked++
	f.mu.Unlock()
}

// spread returns d, a quarter more or less, so that members of a fleet started at once do not call at once.
func spread(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// syncEvery is the time between full exchanges of state. Each holds all members, so that a fixed pace would
// cost each member more as the fleet grows; what gossip missed is what they are for, and that is rare.
func (f *Fleet) syncEvery() time.Duration { return f.opt.SyncEach * time.Duration(f.ml.NumMembers()) }

// sync exchanges the whole state with one live member, drawn at random.
func (f *Fleet) sync() {
	f.mu.Lock()
	var live []string
	for _, m := range f.view.Snapshot() {
		if m.Status == membership.Alive && m.Name != f.opt.Name {
			live = append(live, m.Address)
		}
	}
	f.mu.Unlock()
	if len(live) > 0 && f.join([]string{live[rand.N(len(live))]}) > 0 {
		f.mu.Lock()
		f.counts.Syncs++
		f.mu.Unlock()
	}
}

// rejoin tries one lately dead member, as serf's reconnect does: after a partition outlasts the dead
// timeout, each half holds the other dead and memberlist alone never probes it again. Beside it goes one
// seed that is no live member: of a fleet we never met, or whose dead we forgot.
func (f *Fleet) rejoin() {
	// Not under f.mu: memberlist has news of members noted under its own lock, and Address takes that.
	live := map[string]bool{f.Address(): true}
	f.mu.Lock()
	for _, m := range f.view.Snapshot() {
		live[m.Address] = live[m.Address] || m.Status == membership.Alive || m.Status == membership.Suspect
	}
	dead := f.view.Recent()
	claiming := f.conflict != ""
	f.mu.Unlock()
	var try, seeds []string
	if len(dead) > 0 {
		try = append(try, dead[rand.N(len(dead))].Address)
	}
	for _, s := range f.opt.Seeds {
		if claiming || !live[s] {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) > 0 {
		try = append(try, seeds[rand.N(len(seeds))])
	}
	if len(try) > 0 && f.join(try) > 0 {
		f.mu.Lock()
		f.counts.Rejoins++
		f.mu.Unlock()
		f.outdo() // a seed that did not answer at the start
	}
}
