package scheduler

const (
	fitWindow          = 60.0 // samples that a fit remembers, by their weights
	fitPrior           = 3.0  // samples that the initial guess counts for
	minClippingSamples = 10.0 // samples after which a value far above the line is clipped
	clippingFactor     = 3.0  // to so many times the expected value
	minGuessFraction   = 0.05 // base and slope don't fall below this fraction of the guess
)

// linearFit is a straight line y = base + slope·x by weighted least squares, in which older samples count
// less. It starts from a guess.
type linearFit struct {
	base, slope       float64
	minBase, minSlope float64
	aboveWeight       float64 // how much a sample above the line counts
	samples           float64 // sum of all weights

	weights, sumX, sumY, sumXX, sumXY float64 // weighted sums over the window
}

// newLinearFit returns a fit that starts from a guess: a line that holds around x. Where aboveWeight is below
// 1 the line follows the lower samples.
func newLinearFit(base, slope, x, aboveWeight float64) *linearFit {
	f := &linearFit{
		base: base, slope: slope, minBase: minGuessFraction * base, minSlope: minGuessFraction * slope,
		aboveWeight: aboveWeight,
	}
	for _, at := range []float64{x / 2, 3 * x / 2} {
		f.accumulate(at, base+slope*at, fitPrior/2)
	}
	return f
}

// at returns the line's value.
func (f *linearFit) at(x float64) float64 { return f.base + f.slope*x }

// add adds a sample with a weight of up to 1.
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

// decay scales the weights of all earlier samples.
func (f *linearFit) decay(factor float64) {
	f.weights *= factor
	f.sumX *= factor
	f.sumY *= factor
	f.sumXX *= factor
	f.sumXY *= factor
}

// accumulate adds a weighted sample to the sums.
func (f *linearFit) accumulate(x, y, weight float64) {
	f.weights += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumXX += weight * x * x
	f.sumXY += weight * x * y
}

// solve sets base and slope by least squares, within their bounds.
func (f *linearFit) solve() {
	const flat = 1e-9 // samples at a single x tell no slope
	if spread := f.weights*f.sumXX - f.sumX*f.sumX; spread > flat*f.weights*f.sumXX {
		f.slope = (f.weights*f.sumXY - f.sumX*f.sumY) / spread
	}
	f.slope = max(f.slope, f.minSlope)
	f.base = (f.sumY - f.slope*f.sumX) / f.weights
	if f.base < f.minBase {
		f.base = f.minBase
		f.slope = max((f.sumXY-f.base*f.sumX)/max(f.sumXX, flat), f.minSlope)
	}
}

const meanWindow = 60 // samples that the means of a pool remember

// movingMean is a mean that becomes an exponentially weighted one after as many samples as its window has.
type movingMean struct {
	value   float64
	samples float64 // counted so far, at most the window
}

// add adds a sample; window is in samples.
func (m *movingMean) add(sample, window float64) {
	m.samples = min(m.samples+1, window)
	m.value += (sample - m.value) / m.samples
}
