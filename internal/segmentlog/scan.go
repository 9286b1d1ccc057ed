package segmentlog

import (
	"bytes"
	"encoding/binary"
	"slices"
)

// scan is what reading one segment gave.
type scan struct {
	records [][]byte
	frames  int
	// next is the sequence that the next frame will have.
	next uint64
	// base is where the snapshot ends, good is where the last good frame ends.
	base, good int64
	// marked says that the last frame is a mark.
	marked bool
	// torn counts the bytes behind good; tornReason says why they are no frame.
	torn       int64
	tornReason string
}

// scanSegment reads a segment. It returns *Damaged or *NewerFormat for what a crash cannot have left.
func scanSegment(file string, data []byte, number uint64) (scan, error) {
	if err := checkHeader(file, data, number); err != nil {
		return scan{}, err
	}
	result := scan{good: int64(headerSize)}
	for result.good < int64(len(data)) {
		one, reason := decodeFrame(data[result.good:], number)
		if reason == "" && one.sequence != result.next {
			reason = "the frame's sequence is not the next one"
		}
		if reason != "" {
			return endOfSegment(file, data, number, result, reason)
		}
		result.add(one)
	}
	if result.frames == 0 {
		return result, &Damaged{File: file, Offset: result.good, Reason: "the snapshot is missing"}
	}
	result.dropMark()
	return result, nil
}

// add takes a good frame.
func (s *scan) add(one frame) {
	s.records = append(s.records, one.records...)
	s.good += int64(one.size)
	if s.frames == 0 {
		s.base = s.good
	}
	s.frames++
	s.next++
	s.marked = one.isSyncMark()
}

// dropMark doesn't count a mark at the end: the next frame takes its place.
func (s *scan) dropMark() {
	if s.marked {
		s.good -= frameHeaderSize
		s.frames--
		s.next--
	}
}

// endOfSegment decides whether a bad frame is a torn end or damage. The snapshot was synced before the
// segment got its name, and a frame is written only after the one before it was synced.
func endOfSegment(file string, data []byte, number uint64, result scan, reason string) (scan, error) {
	rest := data[result.good:]
	if result.frames == 0 || goodFrameBehind(rest, number, result.next) || !mayBeTorn(data, number, &result) {
		return result, &Damaged{File: file, Offset: result.good, Reason: reason}
	}
	result.dropMark()
	result.torn, result.tornReason = int64(len(data))-result.good, reason
	return result, nil
}

// mayBeTorn tells whether a crash can have left a bad last frame. It leaves each sector of a write as it was
// or as it should be: the file ends early, or a part of the frame in one sector still has what was there
// before, the mark behind the last good frame and zeros. A frame of which nothing is missing has been changed
// since.
func mayBeTorn(data []byte, number uint64, result *scan) bool {
	rest := data[result.good:]
	if result.marked || len(rest) <= frameHeaderSize {
		return true // the mark is still there, or is all that is bad
	}
	end := int64(len(data))
	size, good := frameExtent(rest, number)
	switch {
	case size <= int64(len(rest)):
		end = result.good + size // also by a bad header: half a mark may stand behind the frame
	case good:
		return true
	}
	if missesAnEnd(data[result.good:end]) || !good && missesHeaderEnd(rest) {
		return true
	}
	if !good {
		end = int64(len(data))
	}
	before := make([]byte, len(rest))
	copy(before, syncMark(number, result.next))
	for start := result.good; start < end; {
		next := min(end, start-start%sectorSize+sectorSize)
		part, old := data[start:next], before[start-result.good:next-result.good]
		if bytes.Equal(part, old) || bytes.Equal(part, make([]byte, len(part))) {
			return true
		}
		start = next
	}
	return false
}

// missesAnEnd tells whether the first or the last bytes of a frame were not written. Disks that tear a write
// inside a sector leave that: a length of zero, which only marks have, or a zero at the end, which no owner's
// record ends in.
func missesAnEnd(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame) == 0 || frame[len(frame)-1] == 0
}

// missesHeaderEnd tells whether the checksum at the end of a frame's header was not written.
func missesHeaderEnd(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameHeaderSize-4:]) == 0
}

// goodFrameBehind looks for a good frame with a later sequence anywhere behind the first byte.
func goodFrameBehind(rest []byte, number, sequence uint64) bool {
	for offset := 1; offset+frameHeaderSize <= len(rest); offset++ {
		one, reason := decodeFrame(rest[offset:], number)
		if reason == "" && one.sequence > sequence {
			return true
		}
	}
	return false
}

// segmentNumbers returns the numbers of the segments in a folder, lowest first.
func segmentNumbers(fs FS, dir string) ([]uint64, error) {
	names, err := fs.List(dir)
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
