package balance

// maxReportedValue is the highest valid value in a load report.
const maxReportedValue = 1e9

// loadReport has the values of a load report that decisions use.
type loadReport struct {
	inFlight float64 // requests in flight, queued ones included
	queued   float64 // requests queued
}

// parseReport extracts the requests in flight and queued from a load report. ok is false if the report has
// too few values, has neither of the two, or has any value that is negative, NaN or above maxReportedValue.
// If it has only the requests queued, these also serve as the requests in flight.
func parseReport(fields []ReportField, values []float64) (report loadReport, ok bool) {
	if len(values) < len(fields) {
		return loadReport{}, false
	}
	hasInFlight, hasQueued := false, false
	for i, field := range fields {
		if !(values[i] >= 0 && values[i] <= maxReportedValue) {
			return loadReport{}, false
		}
		switch field {
		case FieldInFlight:
			report.inFlight, hasInFlight = values[i], true
		case FieldQueued:
			report.queued, hasQueued = values[i], true
		}
	}
	if !hasInFlight {
		report.inFlight = report.queued
	}
	return report, hasInFlight || hasQueued
}
