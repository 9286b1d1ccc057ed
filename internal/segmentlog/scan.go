package segmentlog

import (
	"bytes"
	"encoding/binary"
)

// sectorSize is the unit that a disk writes completely or not at all, in bytes.
const sectorSize = 512

// scanResult is the content of a segment.
type scanResult struct {
	records [][]byte
	frames  int
	// nextSequence is the sequence of the next frame.
	nextSequence uint64
	// snapshotEnd and validEnd are the offsets where the snapshot and the last valid frame end.
	snapshotEnd, validEnd int64
	// endsWithMarker is whether the last valid frame is a sync marker.
	endsWithMarker bool
	// tornBytes is the number of bytes that a crash has left after validEnd.
	tornBytes int64
}

// scanSegment decodes a segment. It returns a *NewerFormatError, or a *CorruptionError for content that a
// crash can't have left.
func scanSegment(file string, data []byte, segment uint64) (scanResult, error) {
	if err := checkHeader(file, data, segment); err != nil {
		return scanResult{}, err
	}
	result := scanResult{validEnd: int64(headerSize)}
	for result.validEnd < int64(len(data)) {
		f, reason := decodeFrame(data[result.validEnd:], segment)
		if reason == "" && f.sequence != result.nextSequence {
			reason = "unexpected frame sequence number"
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

// classifyTail decides whether the frame at result.validEnd, which is invalid for the given reason, was torn
// by a crash or is corrupt. The snapshot was synced before the segment got its name, and a frame is written
// only after the one before it was synced, so that only the last frame can be torn.
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

// hasLaterFrame reports whether tail has a valid frame with a later sequence at any offset but the first.
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
// sector is what was there before. An invalid frame without a missing part is corrupt: it has been changed
// since it was written.
func mayBeTorn(tail []byte, segment uint64, result *scanResult) bool {
	if result.endsWithMarker || len(tail) <= frameHeaderSize {
		return true // the marker is still there, or no more than the marker is invalid
	}
	size, headerValid := frameExtent(tail, segment)
	if headerValid && size > int64(len(tail)) {
		return true // the file ends early
	}
	// Even an invalid header may give the right size, and then part of the next marker may follow the frame.
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

// lacksStartOrEnd reports whether the first or the last bytes of a frame were not written. A disk that tears
// a write inside a sector leaves either a payload length of zero, which only markers have, or a zero byte at
// the end, which no owner's record has.
func lacksStartOrEnd(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame) == 0 || frame[len(frame)-1] == 0
}

// lacksHeaderChecksum reports whether the checksum at the end of a frame's header was not written.
func lacksHeaderChecksum(frame []byte) bool {
	return binary.LittleEndian.Uint32(frame[frameHeaderSize-4:]) == 0
}
