package balance

// maxReportedValue is the highest value that a report can have.
const maxReportedValue = 1e9

// parseReport finds the requests in flight and queued in a load report. ok is false where the report is short
// of values, has neither, or has any value that is negative, NaN or above maxReportedValue. With only the
// requests queued these are used as the requests in flight too.
func parseReport(fields []ReportField, values []float64) (inFlight, queued float64, ok bool) {
	if len(values) < len(fields) {
		return 0, 0, false
	}
	hasInFlight := false
	for i, field := range fields {
		if !(values[i] >= 0 && values[i] <= maxReportedValue) {
			return 0, 0, false
		}
		switch field {
		case FieldInFlight:
			inFlight, hasInFlight, ok = values[i], true, true
		case FieldQueued:
			queued, ok = values[i], true
		}
	}
	if !hasInFlight {
		inFlight = queued
	}
	return inFlight, queued, ok
}
