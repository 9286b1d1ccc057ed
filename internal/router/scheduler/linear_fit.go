package scheduler

const (
	fitWindow          = 60.0 // samples that a fit remembers, by their weights
	fitPrior           = 3.0  // samples that the guess at the start counts for
	minClippingSamples = 10.0 // samples from which on a far one is cut to outlier times what was expected
	clippingFactor     = 3.0
	aboveLine          = 0.05 // how much a sample above the line counts in the end
	minGuessFraction   = 0.05 // of the guess, what base and slope cannot fall below
)

// fit is a straight line y = base + slope·x through samples, of which older ones count less. It starts from
// a
// guess.
type linearFit struct {
	base, slope         float64
	minBase, minSlope   float64
	aboveWeight         float64 // how much a sample above the line counts
	samples             float64
	n, sx, sy, sxx, sxy float64 // weighted sums
}

// newLinearFit returns a fit that starts from a guess: a line that holds around x. Where above is below 1 the
// line follows the lower samples.
func newLinearFit(base, slope, x, aboveWeight float64) *linearFit {
	f := &linearFit{base: base, slope: slope, minBase: minGuessFraction * base,
		minSlope: minGuessFraction * slope, aboveWeight: aboveWeight}
	for _, at := range []float64{x / 2, 3 * x / 2} {
		f.accumulate(at, base+slope*at, fitPrior/2)
	}
	return f
}

// at returns the line's value.
func (f *linearFit) at(x float64) float64 { return f.base + f.slope*x }

// add takes a sample in with a weight of up to 1.
func (f *linearFit) add(x, y, weight float64) {
	expected := f.at(x)
	if f.samples += weight; f.samples > minClippingSamples {
		y = min(y, clippingFactor*expected)
	}
	if y > expected {
		weight *= f.aboveWeight
	}
	f.decay(1 - weight/fitWindow)
	f.accumulate(x, y, weight)
	f.solve()
}

func (f *linearFit) decay(factor float64) {
	f.n, f.sx, f.sy, f.sxx, f.sxy = f.n*factor, f.sx*factor, f.sy*factor, f.sxx*factor, f.sxy*factor
}

func (f *linearFit) accumulate(x, y, weight float64) {
	f.n += weight
	f.sx += weight * x
	f.sy += weight * y
	f.sxx += weight * x * x
	f.sxy += weight * x * y
}

// solve is least squares within the bounds of base and slope.
func (f *linearFit) solve() {
	const flat = 1e-9 // samples at one x tell no slope
	if spread := f.n*f.sxx - f.sx*f.sx; spread > flat*f.n*f.sxx {
		f.slope = (f.n*f.sxy - f.sx*f.sy) / spread
	}
	f.slope = max(f.slope, f.minSlope)
	f.base = (f.sy - f.slope*f.sx) / f.n
	if f.base < f.minBase {
		f.base = f.minBase
		f.slope = max((f.sxy-f.base*f.sx)/max(f.sxx, flat), f.minSlope)
	}
}

const meanWindow = 60 // samples that the means of a pool remember

// mean follows a quantity over about as many samples as it is told to remember.
type movingMean struct{ value, samples float64 }

func (m *movingMean) add(x, window float64) {
	m.samples = min(m.samples+1, window)
	m.value += (x - m.value) / m.samples
}
