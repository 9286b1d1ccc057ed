package proxysim

import (
	"math"
	"testing"
	"time"
)

// swimSettings are those of the scenarios that run real processes (package clusterrig).
func swimSettings(members int) SWIMOptions {
	return SWIMOptions{Members: members, Probe: 200 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond,
		Gossip: 100 * time.Millisecond, SuspicionMult: 4, RejoinInterval: 500 * time.Millisecond,
		SyncPerMember: 500 * time.Millisecond, GossipToDead: 2 * time.Second, Latency: 150 * time.Microsecond,
		Jitter: 300 * time.Microsecond, Seed: 1}
}

// The model's times are within a fifth of those that were measured with real processes, at the sizes and
// settings in docs/fleet-view.md: medians of a killed member's death in all views, over 20 kills.
func TestSWIMMatchesProcesses(t *testing.T) {
	for members, real := range map[int]float64{5: 1306, 7: 1219, 10: 1302, 30: 1604} {
		r, err := RunSWIMTrial("kill", swimSettings(members), 40)
		if err != nil {
			t.Fatal(err)
		}
		if off := math.Abs(r.Median-real) / real; off > 0.2 || r.Missed > 0 {
			t.Errorf("%d members: %.0f ms, processes took %.0f ms (%.0f%% off), %d missed", members, r.Median, real,
				100*off, r.Missed)
		}
		if members == 7 && r.Worst > 3000 { // the bound of a fleet of this size
			t.Errorf("%d members: a kill took %.0f ms to be seen", members, r.Worst)
		}
	}
	for members, real := range map[int][2]float64{5: {1032, 10.4}, 10: {1019, 10.2}, 30: {1007, 10.1}} {
		r, err := RunSWIMTrial("quiet", swimSettings(members), 5)
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(r.Bytes-real[0]) > 0.2*real[0] || math.Abs(r.Packets-real[1]) > 0.2*real[1] {
			t.Errorf("%d members: %.0f bytes and %.1f packets, processes sent %v", members, r.Bytes, r.Packets, real)
		}
	}
}

// Convergence after a heal takes as long as with processes, within a fifth. Fleets of thirty have three
// seeds.
func TestSWIMHealsAsProcessesDo(t *testing.T) {
	for _, c := range []struct {
		members, seeds int
		real           float64
	}{{7, 1, 176}, {30, 3, 462}} {
		o := swimSettings(c.members)
		o.Seeds = c.seeds
		r, err := RunSWIMTrial("partition", o, 100)
		if err != nil {
			t.Fatal(err)
		}
		if off := math.Abs(r.Heal-c.real) / c.real; off > 0.2 || r.Missed > 0 {
			t.Errorf("%d members: %.0f ms, processes took %.0f ms (%.0f%% off), %d missed", c.members, r.Heal, c.real,
				100*off, r.Missed)
		}
	}
}

// What each member sends stays flat as the fleet grows.
func TestSWIMTrafficIsIndependentOfSize(t *testing.T) {
	few, err := RunSWIMTrial("quiet", swimSettings(5), 3)
	if err != nil {
		t.Fatal(err)
	}
	many, err := RunSWIMTrial("quiet", swimSettings(300), 1)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(many.Bytes-few.Bytes) > 0.2*few.Bytes || math.Abs(many.Packets-few.Packets) > 0.2*few.Packets {
		t.Errorf("5 members send %.0f bytes and %.1f packets each, 300 send %.0f and %.1f", few.Bytes, few.Packets,
			many.Bytes, many.Packets)
	}
}

func TestSWIMTrials(t *testing.T) {
	for _, trial := range SWIMTrialNames {
		a, err := RunSWIMTrial(trial, swimSettings(7), 3)
		if err != nil || a.Missed > 0 {
			t.Errorf("%s: %+v %v", trial, a, err)
		}
		if b, _ := RunSWIMTrial(trial, swimSettings(7), 3); a != b {
			t.Errorf("%s: the same seeds gave %+v and %+v", trial, a, b)
		}
	}
	if _, err := RunSWIMTrial("dance", swimSettings(7), 1); err == nil {
		t.Error("a trial that is none was played")
	}
	if _, err := RunSWIMTrial("kill", swimSettings(2), 1); err == nil {
		t.Error("two members were played")
	}
}

// Faults have the same effect as on processes: pauses and one-way links have no healthy member declared dead,
// a restarted member is alive again, a partition heals.
func TestSWIMFaults(t *testing.T) {
	s := NewSWIM(swimSettings(7))
	for range 10 {
		s.Pause(6)
		s.Run(2*time.Second, nil)
		s.Resume(6)
		s.Run(8*time.Second, nil)
	}
	if s.Count.FalseDeaths > 0 || !s.Converged() {
		t.Errorf("beside a paused member: %d false deaths, settled %v", s.Count.FalseDeaths, s.Converged())
	}
	s = NewSWIM(swimSettings(7))
	s.BlockLink(2, 1)
	s.Run(20*time.Second, nil)
	if s.Count.FalseDeaths > 0 || s.Count.Indirect == 0 {
		t.Errorf("over a one-way link: %d false deaths, %d indirect probes", s.Count.FalseDeaths, s.Count.Indirect)
	}
	s.Heal()
	s.Kill(3)
	s.Run(500*time.Millisecond, nil)
	s.Restart(3)
	if s.Run(10*time.Second, s.Converged); !s.Converged() || s.Status(0, 3) != SWIMAlive {
		t.Error("a restart before the suspicion's end was not taken back")
	}
	s.Slow(4, 2*time.Millisecond)
	s.Partition(3)
	for range 3000 {
		if s.Run(10*time.Millisecond, nil); s.Partitioned() {
			break
		}
	}
	if !s.Partitioned() {
		t.Fatal("the sides of a partition never held each other dead")
	}
	s.Heal()
	s.recount()
	if took := s.Run(10*time.Second, s.Converged); !s.Converged() {
		t.Errorf("no one view %v after a heal", took)
	}
}
