package fleettrial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"cresshub/internal/faultinject"
	"cresshub/internal/fleetstandin"
)

// soakTrouble is one kind of trouble that a soak draws. It plays to its end and leaves nothing behind.
type soakTrouble struct {
	name string
	play func(ctx context.Context, s *soak, lot *rand.Rand) error
}

var soakTroubles = []soakTrouble{
	{"kill", playKill}, {"end_at_point", playEndAtPoint}, {"term", playTerm}, {"freeze", playFreeze},
	{"wipe", playWipe}, {"herd", playHerd}, {"herd_after_ack", playHerdAfterAck}, {"cut_member", playCutMember},
	{"cut_halves", playCutHalves}, {"cut_one_way", playCutOneWay}, {"cut_follower", playCutFollower},
	{"disk", playDisk}, {"accept", playAccept}, {"reload", playReload}, {"log_stands", playLogStands},
	{"crash_server", playCrashServer}, {"drain_server", playDrainServer}, {"misbehave", playMisbehave},
	{"storm", playStorm}, {"race", playRace}, {"answers_lost", playAnswersLost},
	{"rude_clients", playRudeClients},
}

// TroubleNames names the troubles that a soak draws.
func TroubleNames() []string {
	var names []string
	for _, trouble := range soakTroubles {
		names = append(names, trouble.name)
	}
	return names
}

// selectTroubles returns the troubles with some names, all where none is given.
func selectTroubles(names []string) []soakTrouble {
	if len(names) == 0 {
		return soakTroubles
	}
	return slices.DeleteFunc(slices.Clone(soakTroubles), func(trouble soakTrouble) bool {
		return !slices.Contains(names, trouble.name)
	})
}

// between draws a time.
func between(lot *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(lot.Int64N(int64(most-least)))
}

// take draws a machine that is in no such trouble, and reserves it; nil where there is none. Of the machines
// that count one at a time is taken.
func (s *soak) take(lot *rand.Rand, fits func(*Machine) bool) *Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var free []*Machine
	for _, m := range s.Machines {
		if !s.busy[m] && fits(m) && (!m.HasDisk || s.coreBusy == 0) {
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	m := free[lot.IntN(len(free))]
	s.reserve(m)
	return m
}

// takeAll reserves all machines, or none where one is in trouble.
func (s *soak) takeAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.busy) > 0 {
		return false
	}
	for _, m := range s.Machines {
		s.reserve(m)
	}
	return true
}

// reserve notes that a machine is in trouble; the lock is held.
func (s *soak) reserve(m *Machine) {
	s.busy[m] = true
	if m.HasDisk {
		s.coreBusy++
	}
}

func (s *soak) release(machines ...*Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		delete(s.busy, m)
		if m.HasDisk {
			s.coreBusy--
		}
	}
}

func anyMachine(*Machine) bool { return true }

func hasDisk(m *Machine) bool { return m.HasDisk }

// restart starts a machine whose process has ended.
func (s *soak) restart(ctx context.Context, m *Machine) error {
	if err := m.Start(ctx, false); err != nil {
		return err
	}
	s.event("%s runs again", m.Name)
	return nil
}

func playKill(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, anyMachine)
	if m == nil {
		return nil
	}
	defer s.release(m)
	s.event("%s is killed", m.Name)
	m.Kill()
	sleepFor(ctx, between(lot, 50*time.Millisecond, 2*time.Second))
	return s.restart(ctx, m)
}

// mostPoint is the last numbered point at which a process is ended, mostStartPoint the last one of its start.
const (
	mostPoint      = 120
	mostStartPoint = 40
)

func playEndAtPoint(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, anyMachine)
	if m == nil {
		return nil
	}
	defer s.release(m)
	point := 1 + lot.IntN(mostPoint)
	ended := m.EndAtPoint(ctx, point, 1500*time.Millisecond)
	s.event("%s ended at point %d: %t", m.Name, point, ended)
	sleepFor(ctx, between(lot, 50*time.Millisecond, time.Second))
	for range lot.IntN(3) { // and again while it starts
		point = 1 + lot.IntN(mostStartPoint)
		ended = m.StartToEnd(ctx, point, time.Second)
		s.event("%s started and ended at point %d: %t", m.Name, point, ended)
	}
	return s.restart(ctx, m)
}

func playTerm(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, anyMachine)
	if m == nil {
		return nil
	}
	defer s.release(m)
	s.event("%s gets SIGTERM", m.Name)
	m.Terminate(ctx)
	s.event("%s has ended", m.Name)
	return s.restart(ctx, m)
}

func playFreeze(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, anyMachine)
	if m == nil {
		return nil
	}
	defer s.release(m)
	s.event("%s freezes", m.Name)
	m.Freeze(ctx, between(lot, 200*time.Millisecond, 4*time.Second))
	s.event("%s wakes", m.Name)
	return nil
}

// playWipe has a machine lose its disk, unless another one has not caught up yet that lost its own.
func playWipe(ctx context.Context, s *soak, lot *rand.Rand) error {
	if !s.mayWipe() {
		return nil
	}
	defer s.wiped()
	m := s.take(lot, hasDisk)
	if m == nil {
		return nil
	}
	defer s.release(m)
	s.event("%s is killed and loses its disk", m.Name)
	m.Kill()
	sleepFor(ctx, between(lot, 50*time.Millisecond, time.Second))
	if err := m.Wipe(); err != nil {
		return err
	}
	return s.restart(ctx, m)
}

func (s *soak) mayWipe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wiping || time.Since(s.wipedAt) < 2*catchUp {
		return false
	}
	s.wiping = true
	return true
}

func (s *soak) wiped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wiping, s.wipedAt = false, time.Now()
}

func playHerd(ctx context.Context, s *soak, lot *rand.Rand) error {
	if !s.takeAll() {
		return nil
	}
	defer s.release(s.Machines...)
	return s.killHerd(ctx, lot)
}

func (s *soak) killHerd(ctx context.Context, lot *rand.Rand) error {
	s.event("all machines are killed")
	for _, m := range s.Machines {
		m.Kill()
	}
	sleepFor(ctx, between(lot, 50*time.Millisecond, time.Second))
	err := s.StartMachines(ctx, false)
	s.event("all machines run again")
	return err
}

// playHerdAfterAck kills all processes right after a change was acknowledged; one may lose its disk.
func playHerdAfterAck(ctx context.Context, s *soak, lot *rand.Rand) error {
	if !s.takeAll() {
		return nil
	}
	defer s.release(s.Machines...)
	bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.change(bounded); err != nil {
		s.event("a change got no clear answer: %v", err)
	}
	sleepFor(ctx, time.Duration(lot.Int64N(int64(15*time.Millisecond))))
	for _, m := range s.Machines {
		m.Kill()
	}
	s.event("all machines are killed after a change")
	if lot.IntN(2) == 0 && s.mayWipe() {
		defer s.wiped()
		lost := s.WithDisk(true)[lot.IntN(len(zones))]
		s.event("%s loses its disk", lost.Name)
		if err := lost.Wipe(); err != nil {
			return err
		}
	}
	sleepFor(ctx, between(lot, 50*time.Millisecond, time.Second))
	return s.StartMachines(ctx, false)
}

// playCut cuts ways for a while.
func (s *soak) playCut(ctx context.Context, lot *rand.Rand, what string, ways []way, machines ...*Machine) {
	troubled, end := context.WithCancel(ctx)
	defer end()
	go s.keepTroubled(troubled, machines...)
	s.event("cut: %s", what)
	heal := s.cuts.add(ways)
	sleepFor(ctx, between(lot, 300*time.Millisecond, 6*time.Second))
	heal()
	s.event("healed: %s", what)
}

// playCutMember cuts a machine with a disk off from the others that have one, or from all.
func playCutMember(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.WithDisk(true)[lot.IntN(len(zones))]
	others, what := s.WithDisk(true), "the other members"
	if lot.IntN(2) == 0 {
		others, what = s.Machines, "all machines"
	}
	s.playCut(ctx, lot, m.Name+" from "+what, bothWays([]*Machine{m}, others), s.WithDisk(true)...)
	return nil
}

// playCutHalves cuts the machines into two halves by lot.
func playCutHalves(ctx context.Context, s *soak, lot *rand.Rand) error {
	var one, other []*Machine
	for _, m := range s.Machines {
		if lot.IntN(2) == 0 {
			one = append(one, m)
		} else {
			other = append(other, m)
		}
	}
	s.playCut(ctx, lot, fmt.Sprintf("%d machines from %d", len(one), len(other)), bothWays(one, other),
		s.Machines...)
	return nil
}

// playCutOneWay has a machine not hear another one, or nobody hear it.
func playCutOneWay(ctx context.Context, s *soak, lot *rand.Rand) error {
	from := s.Machines[lot.IntN(len(s.Machines))]
	var ways []way
	for _, to := range s.Machines {
		if to != from && lot.IntN(3) > 0 {
			ways = append(ways, way{from, to})
		}
	}
	s.playCut(ctx, lot, fmt.Sprintf("%s is not heard by %d", from.Name, len(ways)), ways, s.Machines...)
	return nil
}

func playCutFollower(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.WithDisk(false)[lot.IntN(len(zones))]
	members := s.WithDisk(true)
	lot.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:1+lot.IntN(len(members))]
	s.playCut(ctx, lot, fmt.Sprintf("%s from %d members", m.Name, len(members)),
		bothWays([]*Machine{m}, members), m)
	return nil
}

// playDisk has a disk refuse writes, hang or be slow; sometimes its process is killed or stopped meanwhile.
func playDisk(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, hasDisk)
	if m == nil {
		return nil
	}
	defer s.release(m)
	modes := []faultinject.DiskMode{faultinject.DiskFull, faultinject.DiskHang, faultinject.DiskSlow}
	mode := modes[lot.IntN(len(modes))]
	troubled, end := context.WithCancel(ctx)
	defer end()
	go s.keepTroubled(troubled, m)
	s.event("%s: disk %s", m.Name, mode)
	s.cuts.setDisk(m, mode)
	sleepFor(ctx, between(lot, 300*time.Millisecond, 4*time.Second))
	var err error
	switch lot.IntN(4) {
	case 0:
		s.event("%s is killed, its disk is still %s", m.Name, mode)
		m.Kill()
		err = s.restart(ctx, m)
	case 1:
		s.event("%s gets SIGTERM, its disk is still %s", m.Name, mode)
		m.Terminate(ctx)
		err = s.restart(ctx, m)
	}
	sleepFor(ctx, between(lot, 100*time.Millisecond, 2*time.Second))
	s.cuts.setDisk(m, faultinject.DiskOK)
	s.event("%s: disk ok", m.Name)
	return err
}

// playAccept has a process fail to accept connections, as it does without descriptors.
func playAccept(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.Machines[lot.IntN(len(s.Machines))]
	troubled, end := context.WithCancel(ctx)
	defer end()
	go s.keepTroubled(troubled, m)
	count := 1 + lot.IntN(6)
	s.event("%s fails to accept %d connections", m.Name, count)
	m.send("%s %d", faultinject.CommandRefuse, count)
	sleepFor(ctx, between(lot, 200*time.Millisecond, time.Second))
	m.send("%s 0", faultinject.CommandRefuse)
	return nil
}

// playReload writes the settings file in pieces, with other seeds, and sends SIGHUP at any moment.
func playReload(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.Machines[lot.IntN(len(s.Machines))]
	s.event("%s: settings change", m.Name)
	raw, err := m.settingsFile(false)
	if err != nil {
		return err
	}
	half := lot.IntN(len(raw))
	for _, part := range [][]byte{raw[:half], raw} {
		if err := os.WriteFile(m.settingsPath(), part, 0o600); err != nil {
			return err
		}
		for range lot.IntN(3) {
			if process := m.running(); process != nil {
				_ = process.Signal(syscall.SIGHUP)
			}
			sleepFor(ctx, between(lot, time.Millisecond, 30*time.Millisecond))
		}
	}
	return nil
}

// playLogStands has nobody read the log of a process for a while.
func playLogStands(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := s.take(lot, anyMachine)
	if m == nil {
		return nil
	}
	defer s.release(m)
	process := m.running()
	if process == nil {
		return nil
	}
	s.event("nobody reads the log of %s", m.Name)
	process.HoldLog()
	sleepFor(ctx, between(lot, time.Second, 4*time.Second))
	process.ReleaseLog()
	s.event("the log of %s is read", m.Name)
	return nil
}

// drawServer returns one of the servers that run.
func (s *soak) drawServer(lot *rand.Rand) *fleetstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	return s.servers[lot.IntN(len(s.servers))]
}

// takeServer takes one server out of those that run, so that no other trouble ends it too.
func (s *soak) takeServer(lot *rand.Rand) *fleetstandin.Server {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	if len(s.servers) < len(serverPlan)-1 {
		return nil
	}
	at := lot.IntN(len(s.servers))
	server := s.servers[at]
	s.servers = slices.Delete(s.servers, at, at+1)
	return server
}

func (s *soak) noteEnded(server *fleetstandin.Server) {
	s.serversMu.Lock()
	defer s.serversMu.Unlock()
	s.ended = append(s.ended, server.Tally())
}

func playCrashServer(ctx context.Context, s *soak, lot *rand.Rand) error {
	server := s.takeServer(lot)
	if server == nil {
		return nil
	}
	options := server.Options()
	s.event("server %s of %s crashes", server.ID(), options.Service)
	server.Crash()
	s.noteEnded(server)
	sleepFor(ctx, between(lot, 50*time.Millisecond, 2*time.Second))
	return s.StartServer(options)
}

func playDrainServer(ctx context.Context, s *soak, lot *rand.Rand) error {
	server := s.takeServer(lot)
	if server == nil {
		return nil
	}
	options := server.Options()
	options.Address = hostOf(options.Address) + ":0"
	if err := s.StartServer(options); err != nil {
		return err
	}
	s.event("server %s of %s leaves", server.ID(), options.Service)
	stopWatching := context.AfterFunc(ctx, server.Stop)
	defer stopWatching()
	acknowledged := server.Leave(bounds.Drain)
	s.noteEnded(server)
	s.event("server %s has left, acknowledged: %t", server.ID(), acknowledged)
	return nil
}

// playMisbehave has servers treat a part of their requests badly.
func playMisbehave(ctx context.Context, s *soak, lot *rand.Rand) error {
	how := fleetstandin.Misbehaviours[lot.IntN(len(fleetstandin.Misbehaviours))]
	part := 0.2 + 0.8*lot.Float64()
	var servers []*fleetstandin.Server
	for range 1 + lot.IntN(4) {
		servers = append(servers, s.drawServer(lot))
	}
	for _, server := range servers {
		s.event("server %s of %s %s (%.1f)", server.ID(), server.Tally().Service, how, part)
		server.Misbehave(how, part)
	}
	sleepFor(ctx, between(lot, 500*time.Millisecond, 4*time.Second))
	for _, server := range servers {
		server.Misbehave(fleetstandin.Behaves, 0)
	}
	return nil
}

// playStorm makes changes in quick succession.
func playStorm(ctx context.Context, s *soak, lot *rand.Rand) error {
	count := 3 + lot.IntN(12)
	s.event("%d changes of the configuration", count)
	for range count {
		if err := s.change(ctx); err != nil {
			s.event("a change got no clear answer: %v", err)
			return ctx.Err()
		}
		sleepFor(ctx, between(lot, time.Millisecond, 120*time.Millisecond))
	}
	return nil
}

// playRace has two operators change the same version at once.
func playRace(ctx context.Context, s *soak, lot *rand.Rand) error {
	s.operating.Lock()
	defer s.operating.Unlock()
	bounded, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := s.Operator.Refresh(bounded); err != nil {
		return ctx.Err()
	}
	base := s.Operator.Current()
	second := s.newOperator()
	second.BuildOn(base)
	one, other := nextConfiguration(base), nextConfiguration(base)
	other.Routes[0].TimeoutMs += 500
	if lot.IntN(2) == 0 {
		other.Version++
	}
	s.event("two operators race for editions %d and %d", one.Version, other.Version)
	results := make(chan error, 2)
	go func() { results <- s.Operator.Put(bounded, one) }()
	go func() { results <- second.Put(bounded, other) }()
	first, last := <-results, <-results
	var rejected *fleetstandin.Rejected
	if errors.As(first, &rejected) && errors.As(last, &rejected) {
		s.Observations.Broken(fleetstandin.Config, "of two operators none won: %v and %v", first, last)
	}
	return ctx.Err()
}

// playAnswersLost loses answers of the fleet to operators and servers.
func playAnswersLost(ctx context.Context, s *soak, lot *rand.Rand) error {
	part := int64(200 + lot.IntN(500))
	s.event("%d in 1000 answers to servers and operators are lost", part)
	troubled, end := context.WithCancel(ctx)
	defer end()
	go s.keepTroubled(troubled, s.Machines...)
	s.lostAnswers.Store(part)
	sleepFor(ctx, between(lot, time.Second, 4*time.Second))
	s.lostAnswers.Store(0)
	return nil
}

// playRudeClients has several rude clients at once.
func playRudeClients(ctx context.Context, s *soak, lot *rand.Rand) error {
	s.event("many rude clients")
	rude, end := context.WithTimeout(ctx, between(lot, time.Second, 4*time.Second))
	defer end()
	done := make(chan struct{})
	const clients = 6
	for range clients {
		client := fleetstandin.NewRudeClient(s.Entry, s.Observations, kinds, lot.Uint64(), s.nextNumber)
		go func() {
			defer func() { done <- struct{}{} }()
			client.Run(rude, 5*time.Millisecond)
		}()
	}
	for range clients {
		<-done
	}
	return nil
}
