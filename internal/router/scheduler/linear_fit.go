package scheduler

const (
	fitWindow          = 60.0 // total weight, in samples, that a fit keeps
	fitPrior           = 3.0  // weight of the initial guess, in samples
	minClippingSamples = 10.0 // samples after which values far above the line are clipped
	clippingFactor     = 3.0  // values are clipped to this many times the expected value
	minGuessFraction   = 0.05 // lower bound of base and slope, as a fraction of the initial guess
)

// linearFit fits a straight line y = base + slope·x by weighted least squares. The weight of a sample
// decreases exponentially with each newer one. The fit starts from an initial guess.
type linearFit struct {
	base, slope       float64
	minBase, minSlope float64
	aboveWeight       float64 // factor of the weight of samples above the line
	samples           float64 // sum of the weights given to add, without decay

	weightSum, sumX, sumY, sumXX, sumXY float64 // exponentially decayed, weighted sums
}

// newLinearFit returns a fit that starts from a guess of base and slope around x. If aboveWeight is below 1,
// the line follows the lower samples.
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

// at returns the line's value at x.
func (f *linearFit) at(x float64) float64 { return f.base + f.slope*x }

// add adds a sample with a weight of at most 1.
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
	f.weightSum *= factor
	f.sumX *= factor
	f.sumY *= factor
	f.sumXX *= factor
	f.sumXY *= factor
}

// accumulate adds a weighted sample to the sums.
func (f *linearFit) accumulate(x, y, weight float64) {
	f.weightSum += weight
	f.sumX += weight * x
	f.sumY += weight * y
	f.sumXX += weight * x * x
	f.sumXY += weight * x * y
}

// solve sets base and slope by least squares, but not below their minimums.
func (f *linearFit) solve() {
	const epsilon = 1e-9 // relative spread of x up to which samples determine no slope
	if spread := f.weightSum*f.sumXX - f.sumX*f.sumX; spread > epsilon*f.weightSum*f.sumXX {
		f.slope = (f.weightSum*f.sumXY - f.sumX*f.sumY) / spread
	}
	f.slope = max(f.slope, f.minSlope)
	f.base = (f.sumY - f.slope*f.sumX) / f.weightSum
	if f.base < f.minBase {
		f.base = f.minBase
		f.slope = max((f.sumXY-f.base*f.sumX)/max(f.sumXX, epsilon), f.minSlope)
	}
}

const meanWindow = 60 // window of a pool's moving means, in samples

// movingMean is the arithmetic mean of its samples until their number reaches the window, and an
// exponentially weighted moving average from then on.
type movingMean struct {
	value   float64
	samples float64 // number of samples, at most the window
}

// add adds a sample; window is in samples.
func (m *movingMean) add(sample, window float64) {
	m.samples = min(m.samples+1, window)
	m.value += (sample - m.value) / m.samples
}
