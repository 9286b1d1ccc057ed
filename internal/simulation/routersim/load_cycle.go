package routersim

import "time"

// LoadCycle plays a scenario while its load rises step by step and falls again over the same loads.
type LoadCycle struct {
	Scenario   func(seed uint64) Scenario // at its capacity
	Loads      []float64                  // as multiples of that capacity, rising
	StepLength time.Duration              // for each load
	Seeds      uint64                     // runs, with seeds from 1
}

// LoadPoint is what a fleet did at one load, once while the load rose and once while it fell.
type LoadPoint struct {
	Load    float64     `json:"load"` // as a multiple of the capacity
	Rising  LoadOutcome `json:"rising"`
	Falling LoadOutcome `json:"falling"`
}

// LoadOutcome is what a fleet did at one load.
type LoadOutcome struct {
	Earned    float64 `json:"earned"`    // value, as a multiple of what is offered at the capacity
	Failed    float64 `json:"failed"`    // fraction of the requests
	Prefilled float64 `json:"prefilled"` // fraction of shared prefixes that no cache held
}

// LoadCurve has a point for each load of a cycle, in rising order.
type LoadCurve []LoadPoint

// Play plays the cycle with a policy.
func (l *LoadCycle) Play(policy PolicyFactory) LoadCurve {
	var sum Result
	for seed := range l.Seeds {
		scenario := l.Scenario(seed + 1)
		scenario.LoadSteps = l.steps()
		sum.Merge(Run(scenario, policy))
	}
	atCapacity := l.Scenario(1)
	return l.curve(sum.Steps, atCapacity.valuePerSecond()*l.StepLength.Seconds()*float64(l.Seeds))
}

// steps returns the load steps: the lowest load once more before all others, in which caches fill, the rising
// loads, and all but the highest again in falling order.
func (l *LoadCycle) steps() []LoadStep {
	steps := []LoadStep{{Length: l.StepLength, Factor: l.Loads[0]}}
	for _, load := range l.Loads {
		steps = append(steps, LoadStep{Length: l.StepLength, Factor: load})
	}
	for i := len(l.Loads) - 2; i >= 0; i-- {
		steps = append(steps, LoadStep{Length: l.StepLength, Factor: l.Loads[i]})
	}
	return steps
}

// curve returns the curve of the counts of all steps; value is what one step offers at the capacity.
func (l *LoadCycle) curve(counts []StepCounts, value float64) LoadCurve {
	outcome := func(step StepCounts) LoadOutcome {
		return LoadOutcome{
			Earned: step.EarnedValue / value, Failed: float64(step.Failed) / max(float64(step.Requests), 1),
			Prefilled: step.PrefilledFraction(),
		}
	}
	var curve LoadCurve
	for i, load := range l.Loads {
		rising, falling := counts[1+i], counts[len(counts)-1-i]
		curve = append(curve, LoadPoint{load, outcome(rising), outcome(falling)})
	}
	return curve
}

// Hysteresis returns the area between the rising and the falling curve of earned value: 0 for a fleet that
// serves as much after an overload as before. Where the falling curve is above the rising one, the area
// counts as negative.
func (c LoadCurve) Hysteresis() float64 {
	area := 0.0
	for i := 1; i < len(c); i++ {
		left := c[i-1].Rising.Earned - c[i-1].Falling.Earned
		right := c[i].Rising.Earned - c[i].Falling.Earned
		area += (c[i].Load - c[i-1].Load) * (left + right) / 2
	}
	return area
}
