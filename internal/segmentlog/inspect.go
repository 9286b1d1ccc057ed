package segmentlog

import "fmt"

// SegmentReport is what Inspect finds in one segment.
type SegmentReport struct {
	Name string
	Size int64 // in bytes
	// Current is whether this segment is the log; any other is a leftover that the next Open removes.
	Current bool
	Frames  int
	Records [][]byte
	// TornBytes is the number of bytes that a crash left after the last valid frame; the next Open truncates
	// them.
	TornBytes int64
	// Problem is the error that Open would return for the segment, or nil.
	Problem error
}

// Inspect reads all segments of a directory, lowest number first, and changes nothing. It returns an error
// only if the directory can't be listed.
func Inspect(fsys FS, dir string) ([]SegmentReport, error) {
	numbers, err := segmentNumbers(fsys, dir)
	if err != nil {
		return nil, fmt.Errorf("segment log: list %s: %w; name a directory that can be read", dir, err)
	}
	var reports []SegmentReport
	for i, number := range numbers {
		name := segmentName(number)
		report := SegmentReport{Name: name, Current: i == len(numbers)-1}
		data, err := fsys.ReadFile(dir + "/" + name)
		if err != nil {
			report.Problem = fmt.Errorf("segment log: read %s: %w; let this user read the file", name, err)
			reports = append(reports, report)
			continue
		}
		result, problem := scanSegment(dir+"/"+name, data, number)
		report.Size, report.Problem = int64(len(data)), problem
		report.Frames, report.Records, report.TornBytes = result.frames, result.records, result.tornBytes
		reports = append(reports, report)
	}
	return reports, nil
}
