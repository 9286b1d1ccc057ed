package segmentlog

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// scanResult is what reading one segment gave.
type scanResult struct {
	records [][]byte
	frames  int
	// nextSequence is the sequence that the next frame will have.
	nextSequence uint64
	// snapshotEnd is where the snapshot ends, good is where the last good frame ends.
	snapshotEnd, validEnd int64
	// endsWithMarker says that the last frame is a mark.
	endsWithMarker bool
	// tornBytes counts the bytes behind good; tornReason says why they are no frame.
	tornBytes  int64
	tornReason string
}

// scanSegment reads a segment. It returns *Damaged or *NewerFormatError for what a crash cannot have left.
func scanSegment(file string, data []byte, number uint64) (scanResult, error) {
	if err := checkHeader(file, data, number); err != nil {
		return scanResult{}, err
	}
	result := scanResult{validEnd: int64(headerSize)}
	for result.validEnd < int64(len(data)) {
		f, reason := decodeFrame(data[result.validEnd:], number)
		if reason == "" && f.sequence != result.nextSequence {
			reason = "the frame's sequence is not the next one"
		}
		if reason != "" {
			return classifyTail(file, data, number, result, reason)
		}
		result.add(f)
	}
	if result.frames == 0 {
		return result, &CorruptionError{File: file, Offset: result.validEnd, Reason: "the snapshot is missing"}
	}
	result.dropMarker()
	return result, nil
}

// add takes a good frame.
func (s *scanResult) add(f frame) {
	s.records = append(s.records, f.records...)
	s.validEnd += int64(f.size)
	if s.frames == 0 {
		s.snapshotEnd = s.validEnd
	}
	s.frames++
	s.nextSequence++
	s.endsWithMarker = f.isSyncMarker()
}

// dropMarker doesn't count a mark at the end: the next frame takes its place.
func (s *scanResult) dropMarker() {
	if s.endsWithMarker {
		s.validEnd -= frameHeaderSize
		s.frames--
		s.nextSequence--
	}
}

// classifyTail decides whether a bad frame is a torn end or damage. The snapshot was synced before the
// segment got its name, and a frame is written only after the one before it was synced.
func classifyTail(file string, data []byte, number uint64, result scanResult, reason string) (scanResult,
	error) {
	tail := data[result.validEnd:]
	if result.frames == 0 || hasLaterFrame(tail, number, result.nextSequence) || !mayBeTorn(data, number,
		&result) {
		return result, &CorruptionError{File: file, Offset: result.validEnd, Reason: reason}
	}
	result.dropMarker()
	result.tornBytes, result.tornReason = int64(len(data))-result.validEnd, reason
	return result, nil
}

// mayBeTorn tells whether a crash can have left a bad last frame. It leaves each sector of a write as it was
// or as it should be: the file ends early, or a part of the frame in one sector still has what was there
// before, the mark behind the last good frame and zeros. A frame of which nothing is missing has been changed
// since.
func mayBeTorn(data []byte, number uint64, result *scanResult) bool {
	tail := data[result.validEnd:]
	if result.endsWithMarker || len(tail) <= frameHeaderSize {
		return true // the mark is still there, or is all that is bad
	}
	end := int64(len(data))
	size, headerValid := frameExtent(tail, number)
	switch {
	case size <= int64(len(tail)):
		end = result.validEnd + size // also by a bad header: half a mark may stand behind the frame
	case headerValid:
		return true
	}
	if lacksStartOrEnd(data[result.validEnd:end]) || !headerValid && lacksHeaderChecksum(tail) {
		return true
	}
	if !headerValid {
		end = int64(len(data))
	}
	expected := make([]byte, len(tail))
	copy(expected, syncMarker(number, result.nextSequence))
	for start := result.validEnd; start < end; {
		next := min(end, start-start%sectorSize+sectorSize)
		current, previous := data[start:next], expected[start-result.validEnd:next-result.validEnd]
		if bytes.Equal(current, previous) || bytes.Equal(current, make([]byte, len(current))) {
			return true
		}
		start = next
	}
	return false
}

// lacksStartOrEnd tells whether the first or the last bytes of a frame were not written. Disks that tear a
// write inside a sector leave that: a length of zero, which only marks have, or a zero at the end, which no
// owner's record ends in.
func lacksStartOrEnd(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame) == 0 || frame[len(frame)-1] == 0
}

// lacksHeaderChecksum tells whether the checksum at the end of a frame's header was not written.
func lacksHeaderChecksum(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameHeaderSize-4:]) == 0
}

// hasLaterFrame looks for a good frame with a later sequence anywhere behind the first byte.
func hasLaterFrame(tail []byte, number, sequence uint64) bool {
	for offset := 1; offset+frameHeaderSize <= len(tail); offset++ {
		f, reason := decodeFrame(tail[offset:], number)
		if reason == "" && f.sequence > sequence {
			return true
		}
	}
	return false
}

// segmentNumbers returns the numbers of the segments in a folder, lowest first.
func segmentNumbers(fsys FS, dir string) ([]uint64, error) {
	names, err := fsys.List(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}
