package proxysim

import (
	"fmt"
	"slices"
	"time"
)

// SWIMTrialNames are the trials that RunSWIMTrial plays.
var SWIMTrialNames = []string{"quiet", "kill", "partition", "many", "join"}

// SWIMTrialResult is what came of one trial over several seeds. Times are in milliseconds; 0 is none.
type SWIMTrialResult struct {
	Trial       string  `json:"trial"`
	Members     int     `json:"members"`
	Repeat      int     `json:"repeat"`
	Median      float64 `json:"median_ms"` // detection of a kill, of many, a partition's two sides, or joining
	Worst       float64 `json:"worst_ms"`
	Heal        float64 `json:"heal_median_ms"` // one view again after a partition's end
	HealWorst   float64 `json:"heal_worst_ms"`
	Missed      int     `json:"missed"`                // did not settle within a minute
	Bytes       float64 `json:"bytes_member_second"`   // sent
	Packets     float64 `json:"packets_member_second"` // sent, and streams opened
	FalseDeaths int64   `json:"false_deaths"`
}

// RunSWIMTrial plays one trial repeat times, each from a settled fleet (join: from one that knows nobody).
func RunSWIMTrial(trial string, o SWIMOptions, repeat int) (SWIMTrialResult, error) {
	r := SWIMTrialResult{Trial: trial, Members: o.Members, Repeat: repeat}
	if !slices.Contains(SWIMTrialNames, trial) {
		return r, fmt.Errorf("%q is none of %v", trial, SWIMTrialNames)
	}
	if o.Members < 3 {
		return r, fmt.Errorf("%d members; at least 3 are wanted", o.Members)
	}
	const most = time.Minute
	var times, heals []time.Duration
	var lasted time.Duration
	var sum SWIMCounts
	for i := range repeat {
		o.Seed += uint64(i) * 7919
		o.StartEmpty = trial == "join"
		s := NewSWIM(o)
		until := func(into *[]time.Duration, holds func() bool) {
			took := s.Run(most, holds)
			if !holds() {
				r.Missed++
			}
			*into = append(*into, took)
		}
		if trial != "join" {
			s.Run(3*time.Second+o.Probe*time.Duration(i)/time.Duration(repeat), nil) // out of the first tickers' step
		}
		before, from := s.Count, s.now
		switch trial {
		case "quiet":
			s.Run(most, nil)
		case "kill":
			s.Kill(o.Members / 2)
			until(&times, s.Converged)
		case "many":
			var all []int
			for j := o.Members / 3; j < o.Members; j++ {
				all = append(all, j)
			}
			s.Kill(all...)
			until(&times, s.Converged)
		case "join":
			until(&times, s.Converged)
		case "partition":
			s.Partition(o.Members * 3 / 7)
			// Looking at all pairs after each event would cost more than the events.
			for t := time.Duration(0); t < most && !s.Partitioned(); t += 10 * time.Millisecond {
				s.Run(10*time.Millisecond, nil)
			}
			times = append(times, time.Duration(s.now-from))
			if rest := 20*time.Second - time.Duration(s.now-from); rest > 0 {
				s.Run(rest, nil)
			}
			s.Heal()
			s.recount()
			until(&heals, s.Converged)
		}
		lasted += time.Duration(s.now - from)
		sum.Bytes += s.Count.Bytes - before.Bytes
		sum.Packets += s.Count.Packets - before.Packets + s.Count.Streams - before.Streams
		sum.FalseDeaths += s.Count.FalseDeaths - before.FalseDeaths
	}
	r.Median, r.Worst = medianAndMax(times)
	r.Heal, r.HealWorst = medianAndMax(heals)
	if per := lasted.Seconds() * float64(o.Members); per > 0 {
		r.Bytes, r.Packets = float64(sum.Bytes)/per, float64(sum.Packets)/per
	}
	r.FalseDeaths = sum.FalseDeaths
	return r, nil
}

func medianAndMax(all []time.Duration) (median, worst float64) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return ms(all[len(all)/2]), ms(all[len(all)-1])
}
