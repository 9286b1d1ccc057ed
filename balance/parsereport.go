package balance

// maxReportedValue is the highest value that a report can have.
const maxReportedValue = 1e9

// loadReport is what is used of a load report.
type loadReport struct {
	inFlight float64 // requests in flight, queued ones included
	queued   float64 // requests queued
}

// parseReport finds the requests in flight and queued in a load report. ok is false where the report is short
// of values, has neither, or has any value that is negative, NaN or above maxReportedValue. With only the
// requests queued these are used as the requests in flight too.
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
