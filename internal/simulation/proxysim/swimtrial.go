package proxysim

import (
	"fmt"
	"slices"
	"time"
)

// The trials of the gossip.
const (
	swimTrialQuiet     = "quiet"     // nothing happens
	swimTrialKill      = "kill"      // one member ends
	swimTrialPartition = "partition" // three members in seven are cut off for a time
	swimTrialMany      = "many"      // two members in three end at once
	swimTrialJoin      = "join"      // all members join at once
)

// SWIMTrialNames are the trials that RunSWIMTrial plays.
var SWIMTrialNames = []string{
	swimTrialQuiet, swimTrialKill, swimTrialPartition, swimTrialMany, swimTrialJoin,
}

// minSWIMMembers is the smallest fleet of a trial.
const minSWIMMembers = 3

// swimSeedStep is between the seeds of a trial's repeats.
const swimSeedStep = 7919

const (
	swimTrialMax  = time.Minute           // bound of each phase of a trial
	swimSettle    = 3 * time.Second       // before a trial
	swimPartition = 20 * time.Second      // how long a partition lasts at least
	swimLook      = 10 * time.Millisecond // between looks at whether a partition has shown
)

// SWIMTrialResult is the result of one trial over several seeds. Times are in milliseconds; 0 is none.
type SWIMTrialResult struct {
	Trial       string  `json:"trial"`
	Members     int     `json:"members"`
	Repeat      int     `json:"repeat"`
	Median      float64 `json:"median_ms"` // detection of a kill, of many, a partition's two sides, or joining
	Worst       float64 `json:"worst_ms"`
	Heal        float64 `json:"heal_median_ms"` // convergence after a partition's end
	HealWorst   float64 `json:"heal_worst_ms"`
	Missed      int     `json:"missed"`                // did not converge within a minute
	Bytes       float64 `json:"bytes_member_second"`   // sent
	Packets     float64 `json:"packets_member_second"` // sent, and streams opened
	FalseDeaths int64   `json:"false_deaths"`
}

// swimTrial collects what the repeats of a trial measure.
type swimTrial struct {
	name         string
	times, heals []time.Duration
	missed       int
	lasted       time.Duration
	sum          SWIMCounts
}

// RunSWIMTrial plays a trial, one of SWIMTrialNames, repeat times, each from a converged fleet (join: from
// one whose members know nobody).
func RunSWIMTrial(trial string, o SWIMOptions, repeat int) (SWIMTrialResult, error) {
	r := SWIMTrialResult{Trial: trial, Members: o.Members, Repeat: repeat}
	if !slices.Contains(SWIMTrialNames, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, SWIMTrialNames)
	}
	if o.Members < minSWIMMembers {
		return r, fmt.Errorf("%d members; at least %d are wanted", o.Members, minSWIMMembers)
	}
	t := swimTrial{name: trial}
	o.StartEmpty = trial == swimTrialJoin
	for i := range repeat {
		o.Seed += uint64(i) * swimSeedStep
		// A fraction of the interval of probes, so that repeats strike at different times of the tickers.
		t.play(o, swimSettle+o.Probe*time.Duration(i)/time.Duration(repeat))
	}
	r.Median, r.Worst = medianAndMax(t.times)
	r.Heal, r.HealWorst = medianAndMax(t.heals)
	if memberSeconds := t.lasted.Seconds() * float64(o.Members); memberSeconds > 0 {
		r.Bytes, r.Packets = float64(t.sum.Bytes)/memberSeconds, float64(t.sum.Packets)/memberSeconds
	}
	r.Missed, r.FalseDeaths = t.missed, t.sum.FalseDeaths
	return r, nil
}

// play plays the trial once, after a time in which the fleet settles.
func (t *swimTrial) play(o SWIMOptions, settle time.Duration) {
	s := NewSWIM(o)
	if t.name != swimTrialJoin {
		s.Run(settle, nil)
	}
	before, from := s.Count, s.now
	switch t.name {
	case swimTrialQuiet:
		s.Run(swimTrialMax, nil)
	case swimTrialKill:
		s.Kill(o.Members / 2)
		t.times = append(t.times, t.converge(s))
	case swimTrialMany:
		var killed []int
		for member := o.Members / 3; member < o.Members; member++ {
			killed = append(killed, member)
		}
		s.Kill(killed...)
		t.times = append(t.times, t.converge(s))
	case swimTrialJoin:
		t.times = append(t.times, t.converge(s))
	case swimTrialPartition:
		t.partition(s)
	}
	t.lasted += time.Duration(s.now - from)
	t.sum.Bytes += s.Count.Bytes - before.Bytes
	t.sum.Packets += s.Count.Packets - before.Packets + s.Count.Streams - before.Streams
	t.sum.FalseDeaths += s.Count.FalseDeaths - before.FalseDeaths
}

// converge plays until the fleet has converged, and returns how long that took.
func (t *swimTrial) converge(s *SWIM) time.Duration {
	took := s.Run(swimTrialMax, s.Converged)
	if !s.Converged() {
		t.missed++
	}
	return took
}

// partition plays a partition and its heal.
func (t *swimTrial) partition(s *SWIM) {
	from := s.now
	s.Partition(s.opts.Members * 3 / 7)
	// To look at all pairs after each event would cost more than the events.
	for at := time.Duration(0); at < swimTrialMax && !s.Partitioned(); at += swimLook {
		s.Run(swimLook, nil)
	}
	took := time.Duration(s.now - from)
	t.times = append(t.times, took)
	if left := swimPartition - took; left > 0 {
		s.Run(left, nil)
	}
	s.Heal()
	s.recount()
	t.heals = append(t.heals, t.converge(s))
}

// medianAndMax are in milliseconds; it sorts the times.
func medianAndMax(times []time.Duration) (median, longest float64) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return milliseconds(times[len(times)/2]), milliseconds(times[len(times)-1])
}

// milliseconds is a time in ms, to the microsecond.
func milliseconds(d time.Duration) float64 {
	const usPerMillisecond = 1000
	return float64(d.Microseconds()) / usPerMillisecond
}
