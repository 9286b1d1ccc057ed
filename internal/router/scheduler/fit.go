package scheduler

const (
	fitMemory = 60.0 // samples that a fit remembers, by their weights
	fitPrior  = 3.0  // samples that the guess at the start counts for
	fitTrust  = 10.0 // samples from which on a far one is cut to outlier times what was expected
	outlier   = 3.0
	aboveLine = 0.05 // how much a sample above the line counts in the end
	lowest    = 0.05 // of the guess, what base and slope cannot fall below
)

// fit is a straight line y = base + slope·x through samples, of which older ones count less. It starts from
// a
// guess.
type fit struct {
	base, slope           float64
	leastBase, leastSlope float64
	above                 float64 // how much a sample above the line counts
	samples               float64
	n, sx, sy, sxx, sxy   float64 // weighted sums
}

// newFit returns a fit that starts from a guess: a line that holds around x. Where above is below 1 the line
// follows the lower samples.
func newFit(base, slope, x, above float64) *fit {
	f := &fit{base: base, slope: slope, leastBase: lowest * base, leastSlope: lowest * slope, above: above}
	for _, at := range []float64{x / 2, 3 * x / 2} {
		f.sum(at, base+slope*at, fitPrior/2)
	}
	return f
}

// at returns the line's value.
func (f *fit) at(x float64) float64 { return f.base + f.slope*x }

// add takes a sample in with a weight of up to 1.
func (f *fit) add(x, y, weight float64) {
	expected := f.at(x)
	if f.samples += weight; f.samples > fitTrust {
		y = min(y, outlier*expected)
	}
	if y > expected {
		weight *= f.above
	}
	f.forget(1 - weight/fitMemory)
	f.sum(x, y, weight)
	f.solve()
}

func (f *fit) forget(keep float64) {
	f.n, f.sx, f.sy, f.sxx, f.sxy = f.n*keep, f.sx*keep, f.sy*keep, f.sxx*keep, f.sxy*keep
}

func (f *fit) sum(x, y, weight float64) {
	f.n += weight
	f.sx += weight * x
	f.sy += weight * y
	f.sxx += weight * x * x
	f.sxy += weight * x * y
}

// solve is least squares within the bounds of base and slope.
func (f *fit) solve() {
	const flat = 1e-9 // samples at one x tell no slope
	if spread := f.n*f.sxx - f.sx*f.sx; spread > flat*f.n*f.sxx {
		f.slope = (f.n*f.sxy - f.sx*f.sy) / spread
	}
	f.slope = max(f.slope, f.leastSlope)
	f.base = (f.sy - f.slope*f.sx) / f.n
	if f.base < f.leastBase {
		f.base = f.leastBase
		f.slope = max((f.sxy-f.base*f.sx)/max(f.sxx, flat), f.leastSlope)
	}
}

const meanMemory = 60 // samples that the means of a pool remember

// mean follows a quantity over about as many samples as it is told to remember.
type mean struct{ value, n float64 }

func (m *mean) add(x, memory float64) {
	m.n = min(m.n+1, memory)
	m.value += (x - m.value) / m.n
}
