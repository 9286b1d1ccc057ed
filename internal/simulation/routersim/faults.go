package routersim

import "time"

const (
	slowLinkFactor   = 10.0 // on the time of a transfer
	slowEngineFactor = 4.0  // on the time of a step
)

// Fault happens to a fraction of the live servers, drawn at random.
type Fault struct {
	At, Until time.Duration // since the start
	Fraction  float64       // of the servers that are live at that time
	Kind      FaultKind
}

// FaultKind is what happens to a server.
type FaultKind int

// The kinds of faults.
const (
	Crash    FaultKind = iota // the server ends; another incarnation starts at Until
	SlowLink                  // transfers take slowLinkFactor times as long
	Slow                      // the engine takes slowEngineFactor times as long
)

// inject begins a fault.
func (f *fleet) inject(fault Fault) {
	live := f.live()
	f.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for i, s := range live[:int(fault.Fraction*float64(len(live))+0.5)] {
		f.applyFault(s, fault, i)
	}
}

// applyFault begins a fault at one server and schedules its end; number is that of an incarnation that
// replaces the server.
func (f *fleet) applyFault(s *server, fault Fault, number int) {
	lasting := fault.Until - fault.At
	switch fault.Kind {
	case SlowLink:
		s.transferFactor = slowLinkFactor
		f.clock.after(lasting, func() { s.transferFactor = 1 })
	case Slow:
		s.speed /= slowEngineFactor
		f.clock.after(lasting, func() { s.speed *= slowEngineFactor })
	case Crash:
		s.crash()
		f.clock.after(f.scenario.ListingDelay, f.publishTable)
		f.clock.after(lasting, func() { f.addServer(s.Role, number, int(f.publishedTables)+1) })
		f.clock.after(lasting+f.scenario.ListingDelay, f.publishTable)
	}
}
