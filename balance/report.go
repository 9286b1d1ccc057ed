package balance

// parseReport finds the requests held and waiting in a load report. An absurd row is dropped whole; where
// only one of the two is told it stands for what is held.
func parseReport(fields []ReportField, values []float64) (inFlight, queued float64, ok bool) {
	if len(values) < len(fields) {
		return 0, 0, false
	}
	hasInFlight := false
	for i, field := range fields {
		if !(values[i] >= 0 && values[i] <= 1e9) {
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
