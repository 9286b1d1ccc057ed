package gossip

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cresshub/internal/cluster/membership"
	"cresshub/internal/testbed/loopback"
)

// testTimeout bounds every wait in a test; no result depends on how much of it is used.
const testTimeout = 20 * time.Second

func startMember(t *testing.T, name string, seeds ...string) *Fleet {
	t.Helper()
	return startMemberAt(t, name, "127.0.0.1:0", time.Time{}, seeds...)
}

func startMemberAt(t *testing.T, name, bind string, startTime time.Time, seeds ...string) *Fleet {
	t.Helper()
	f, err := Start(Options{Name: name, Bind: bind, Seeds: seeds, Label: "test", StartTime: startTime,
		ProbeInterval: 50 * time.Millisecond, ProbeTimeout: 20 * time.Millisecond,
		GossipInterval: 5 * time.Millisecond, SuspicionMult: 4,
		RejoinInterval:        50 * time.Millisecond, // retries a join that failed while this process was stalled
		SyncIntervalPerMember: time.Hour,
		Membership: membership.Settings{GoneAfter: time.Second, FlapWindow: time.Second, ForgetAfter: time.Minute,
			MaxMembers: 10},
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A member makes progress in its own tasks while it receives updates of others. It would deadlock if a method
// called memberlist with Fleet.mu held, because memberlist holds its own lock while it reports updates to the
// delegates, which take Fleet.mu.
func TestNoLockIsHeldAcrossMemberlistCalls(t *testing.T) {
	a := startMember(t, "a")
	b := startMember(t, "b", a.Address())
	done := make(chan error, 2)
	end := time.Now().Add(time.Second)
	go func() { // updates
		for i := 0; i < 2 || time.Now().Before(end); i++ { // both phases, however long one takes
			b.SetPhase(membership.Phase(i%2), 50*time.Millisecond)
			a.join([]string{b.Address()})
		}
		done <- nil
	}()
	go func() { // what syncLoop does, and what the admin API and other packages call
		for time.Now().Before(end) {
			a.rejoin()
			a.startSuspectSync("b")
			a.Snapshot()
			a.Members()
		}
		done <- nil
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Fatal("deadlock: two locks are taken in different orders")
		}
	}
	waitUntil(t, "updates come", func() bool {
		p := a.Snapshot()
		return len(p.Members) == 2 && p.Counters.Changes > 0
	})
	ended := make(chan struct{})
	go func() { a.Close(); b.Close(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("a member does not end while others gossip to it")
	}
}

// Updates of a member that restarts with its wall clock set back are accepted: after a kill, and after a
// leave.
func TestMemberIsAcceptedAfterItsClockWentBack(t *testing.T) {
	a := startMember(t, "a")
	defer a.Close()
	later := time.Now().Add(time.Hour)
	memberB := func() (m membership.Member) {
		for _, m = range a.Members() {
			if m.Name == "b" {
				return m
			}
		}
		return membership.Member{}
	}
	waitForB := func(what string, holds func(membership.Member) bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !holds(memberB()); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: never; b is %+v", what, memberB())
			}
		}
	}
	b := startMemberAt(t, "b", net.JoinHostPort(loopback.OwnIP(), "0"), later, a.Address())
	bind := b.Address() // bound again below: no other process is given a port of this IP meanwhile
	// Checks the name because the status of the zero Member is Alive: a may merge b's state only after b's join
	// has ended.
	waitForB("b joins", func(m membership.Member) bool { return m.Name == "b" && m.Status == membership.Alive })
	b.Close()
	b = startMemberAt(t, "b", bind, time.Time{}, a.Address())
	waitForB("b is back after a kill, with its clock set back", func(m membership.Member) bool {
		return m.Status == membership.Alive && m.Meta.Incarnation > uint64(later.UnixMilli())
	})
	b.SetPhase(membership.Draining, testTimeout)
	waitForB("an update of it is accepted", func(m membership.Member) bool {
		return m.Meta.Phase == membership.Draining
	})
	b.Leave(testTimeout)
	waitForB("b left", func(m membership.Member) bool { return m.Status == membership.Left })
	b = startMemberAt(t, "b", bind, time.Time{}, a.Address())
	defer b.Close()
	waitForB("b is back after a leave", func(m membership.Member) bool {
		return m.Status == membership.Alive && m.Meta.Phase == membership.Serving
	})
}

// previousNode returns what another member knows of an earlier incarnation of f, which started when its clock
// was ahead.
func previousNode(t *testing.T, f *Fleet) *memberlist.Node {
	t.Helper()
	ip, port, err := splitHostPort(f.Address())
	if err != nil {
		t.Fatal(err)
	}
	return &memberlist.Node{Name: f.opts.Name, Addr: ip, Port: uint16(port),
		Meta: encodeMeta(membership.Meta{Incarnation: f.meta.Load().Incarnation + 1000})}
}

// This member does not supersede another process with its name, which it meets once a partition heals,
// regardless of when that started. It does supersede a previous incarnation at its own address.
func TestIncarnationOfDuplicateNameIsNotSuperseded(t *testing.T) {
	a := startMember(t, "a")
	defer a.Close()
	before := a.meta.Load().Incarnation
	previous := previousNode(t, a)
	mergeWith := func(n *memberlist.Node) uint64 {
		if err := (*delegate)(a).NotifyMerge([]*memberlist.Node{n}); err != nil {
			t.Fatal(err)
		}
		a.supersedePrevious()
		return a.meta.Load().Incarnation
	}
	duplicate := *previous
	duplicate.Port ^= 1
	if got := mergeWith(&duplicate); got != before {
		t.Errorf("beside another process of its name the incarnation is %d, was %d", got, before)
	}
	if got := mergeWith(previous); got != before+1001 {
		t.Errorf("after a previous incarnation here the incarnation is %d, was %d", got, before)
	}
}

// A previous incarnation that is known only from gossip between the start of the transport and the first join
// is superseded as well, exactly once. memberlist refutes that gossip, so that the join shows only the new
// incarnation, which is lower because the clock went back.
func TestPreviousIncarnationInGossipIsSupersededOnce(t *testing.T) {
	var log bytes.Buffer
	a, err := startWithOptions(t, "a", func(o *Options) { o.Log = slog.New(slog.NewTextHandler(&log, nil)) })
	if err != nil {
		t.Fatal(err)
	}
	before := a.meta.Load().Incarnation
	if err := a.memberlistConfig().Alive.NotifyAlive(previousNode(t, a)); err != nil {
		t.Fatal(err)
	}
	for range 3 { // the first call, and those after later rejoins
		a.supersedePrevious()
	}
	if got := a.meta.Load().Incarnation; got != before+1001 {
		t.Errorf("after gossip of a previous incarnation the incarnation is %d, was %d", got, before)
	}
	a.Close()
	if n := strings.Count(log.String(), "the wall clock went back"); n != 1 {
		t.Errorf("the new incarnation was announced %d times", n)
	}
}
