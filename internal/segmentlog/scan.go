package segmentlog

import (
	"bytes"
	"encoding/binary"
)

// sectorSize is the unit that a disk writes completely or not at all, in bytes.
const sectorSize = 512

// scanResult is what a segment holds.
type scanResult struct {
	records [][]byte
	frames  int
	// nextSequence is the sequence of the next frame.
	nextSequence uint64
	// snapshotEnd and validEnd are the offsets where the snapshot and the last valid frame end.
	snapshotEnd, validEnd int64
	// endsWithMarker says that the last valid frame is a sync marker.
	endsWithMarker bool
	// tornBytes is the number of bytes after validEnd that a crash has left.
	tornBytes int64
}

// scanSegment reads a segment. It returns a *CorruptionError or *NewerFormatError for what no crash explains.
func scanSegment(file string, data []byte, segment uint64) (scanResult, error) {
	if err := checkHeader(file, data, segment); err != nil {
		return scanResult{}, err
	}
	result := scanResult{validEnd: int64(headerSize)}
	for result.validEnd < int64(len(data)) {
		f, reason := decodeFrame(data[result.validEnd:], segment)
		if reason == "" && f.sequence != result.nextSequence {
			reason = "the frame's sequence is not the next one"
		}
		if reason != "" {
			return classifyTail(file, data, segment, result, reason)
		}
		result.add(f)
	}
	if result.frames == 0 {
		return result, &CorruptionError{File: file, Offset: result.validEnd, Reason: "the snapshot is missing"}
	}
	result.dropMarker()
	return result, nil
}

// add adds the next valid frame.
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

// dropMarker removes a sync marker at the end, which the next frame overwrites.
func (s *scanResult) dropMarker() {
	if s.endsWithMarker {
		s.validEnd -= frameHeaderSize
		s.frames--
		s.nextSequence--
	}
}

// classifyTail decides whether an invalid frame at result.validEnd is a torn end or corruption, for the
// reason given. The snapshot was synced before the segment got its name, and a frame is written only after
// the one before it was synced, so that only the last frame can be torn.
func classifyTail(file string, data []byte, segment uint64, result scanResult, reason string) (
	scanResult, error) {
	tail := data[result.validEnd:]
	isLast := result.frames > 0 && !hasLaterFrame(tail, segment, result.nextSequence)
	if !isLast || !mayBeTorn(tail, segment, &result) {
		return result, &CorruptionError{File: file, Offset: result.validEnd, Reason: reason}
	}
	result.dropMarker()
	result.tornBytes = int64(len(data)) - result.validEnd
	return result, nil
}

// hasLaterFrame looks for a valid frame with a later sequence at any offset but the first.
func hasLaterFrame(tail []byte, segment, sequence uint64) bool {
	for offset := 1; offset+frameHeaderSize <= len(tail); offset++ {
		f, reason := decodeFrame(tail[offset:], segment)
		if reason == "" && f.sequence > sequence {
			return true
		}
	}
	return false
}

// mayBeTorn reports whether a crash can have left the invalid last frame at the start of tail. A crash leaves
// each sector of a write as it was or as it should be: the file ends early, or the part of the frame in one
// sector is what was there before. A frame of which nothing is missing has been changed since it was written.
func mayBeTorn(tail []byte, segment uint64, result *scanResult) bool {
	if result.endsWithMarker || len(tail) <= frameHeaderSize {
		return true // the marker is still there, or no more than the marker is invalid
	}
	size, headerValid := frameExtent(tail, segment)
	if headerValid && size > int64(len(tail)) {
		return true // the file ends early
	}
	// Also an invalid header may have the right size: part of the next marker may stand after the frame.
	written := tail[:min(size, int64(len(tail)))]
	if lacksStartOrEnd(written) {
		return true
	}
	if !headerValid {
		if lacksHeaderChecksum(tail) {
			return true
		}
		written = tail
	}
	return hasUnwrittenSector(written, result.validEnd, syncMarker(segment, result.nextSequence))
}

// hasUnwrittenSector reports whether the part of a frame in one of its sectors was never written: it still
// has what was there before, which is a marker at the frame's offset, if it was not lost, and zeros.
func hasUnwrittenSector(written []byte, offset int64, marker []byte) bool {
	before := make([]byte, len(written))
	copy(before, marker)
	zeros := make([]byte, sectorSize)
	for start := 0; start < len(written); {
		sectorEnd := start + sectorSize - int((offset+int64(start))%sectorSize)
		end := min(len(written), sectorEnd)
		part := written[start:end]
		if bytes.Equal(part, before[start:end]) || bytes.Equal(part, zeros[:len(part)]) {
			return true
		}
		start = end
	}
	return false
}

// lacksStartOrEnd reports whether the first or the last bytes of a frame were not written. Disks that tear a
// write inside a sector leave that: a length of zero, which only markers have, or a zero at the end, which no
// owner's record has.
func lacksStartOrEnd(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame) == 0 || frame[len(frame)-1] == 0
}

// lacksHeaderChecksum reports whether the checksum at the end of a frame's header was not written.
func lacksHeaderChecksum(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameHeaderSize-4:]) == 0
}
