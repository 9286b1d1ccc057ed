package balance

// readRow finds the requests held and waiting in a load report. An absurd row is dropped whole; where
// only one of the two is told it stands for what is held.
func readRow(fields []Field, row []float64) (held, waiting float64, ok bool) {
	if len(row) < len(fields) {
		return 0, 0, false
	}
	hasHeld := false
	for i, f := range fields {
		if !(row[i] >= 0 && row[i] <= 1e9) {
			return 0, 0, false
		}
		switch f {
		case FieldHeld:
			held, hasHeld, ok = row[i], true, true
		case FieldWaiting:
			waiting, ok = row[i], true
		}
	}
	if !hasHeld {
		held = waiting
	}
	return held, waiting, ok
}
