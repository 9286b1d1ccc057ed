package segmentlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// The layout of a segment: a header, then frames. All numbers are little-endian. The header is the same in
// each format, so that rot in its version isn't taken for a newer one.
const (
	magic         = "CHSEGLOG"
	formatVersion = 1

	// headerSize counts magic, format version, segment number and checksum.
	headerSize = len(magic) + 4 + 8 + 4
	// frameHeaderSize counts payload length, sequence, payload checksum and header checksum.
	frameHeaderSize = 4 + 8 + 4 + 4
	// recordHeaderSize counts the length that stands before each record in a payload.
	recordHeaderSize = 4
	// maxPayload bounds what one Append may hold.
	maxPayload = 32 << 20

	// sectorSize is what a disk writes whole or not at all.
	sectorSize = 512

	segmentSuffix   = ".segment"
	temporarySuffix = ".new"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentName returns the file name of a segment.
func segmentName(number uint64) string {
	return fmt.Sprintf("%016x%s", number, segmentSuffix)
}

// segmentNumber reads the number out of a segment's file name.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && segmentName(number) == name
}

// appendHeader adds a segment's header to data.
func appendHeader(data []byte, number uint64) []byte {
	start := len(data)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, formatVersion)
	data = binary.LittleEndian.AppendUint64(data, number)
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data[start:], castagnoli))
}

// checkHeader compares a segment's header with its file name.
func checkHeader(file string, data []byte, number uint64) error {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return &CorruptionError{File: file, Reason: "no header of a segment"}
	}
	sum := binary.LittleEndian.Uint32(data[headerSize-4:])
	if crc32.Checksum(data[:headerSize-4], castagnoli) != sum {
		return &CorruptionError{File: file, Reason: "the header's checksum differs"}
	}
	if version := binary.LittleEndian.Uint32(data[len(magic):]); version > formatVersion {
		return &NewerFormatError{File: file, Version: version}
	}
	if binary.LittleEndian.Uint64(data[len(magic)+4:]) != number {
		return &CorruptionError{File: file, Reason: "the header names another segment"}
	}
	return nil
}

// frameSize returns how many bytes the frame of some records takes.
func frameSize(records [][]byte) int64 {
	size := int64(frameHeaderSize)
	for _, record := range records {
		size += recordHeaderSize + int64(len(record))
	}
	return size
}

// appendFrame adds one frame to data.
func appendFrame(data []byte, segment, sequence uint64, records [][]byte) []byte {
	start := len(data)
	data = append(data, make([]byte, frameHeaderSize)...)
	for _, record := range records {
		data = binary.LittleEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	header, payload := data[start:start+frameHeaderSize], data[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], sequence)
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[16:], frameHeaderChecksum(header, segment))
	return data
}

// syncMarker returns the frame without records that is written, but not synced, behind a frame once that is
// synced. It has the sequence of the next frame, which takes its place.
func syncMarker(segment, next uint64) []byte { return appendFrame(nil, segment, next, nil) }

// isSyncMarker tells whether a frame is such a mark.
func (f *frame) isSyncMarker() bool { return len(f.records) == 0 && f.sequence > 0 }

// frameHeaderChecksum covers a frame's header and the number of its segment, so that a frame that stands as
// data inside another file's record isn't taken for one of this segment.
func frameHeaderChecksum(header []byte, segment uint64) uint32 {
	sum := crc32.Checksum(header[:16], castagnoli)
	return crc32.Update(sum, castagnoli, binary.LittleEndian.AppendUint64(nil, segment))
}

// frame is one decoded frame.
type frame struct {
	sequence uint64
	records  [][]byte
	size     int
}

// decodeFrame reads the frame at the start of data; the reason is empty if it is good.
func decodeFrame(data []byte, segment uint64) (frame, string) {
	if len(data) < frameHeaderSize {
		return frame{}, "the frame's header is short"
	}
	size, headerValid := frameExtent(data, segment)
	if !headerValid {
		return frame{}, "the checksum of the frame's header differs"
	}
	if size > int64(len(data)) {
		return frame{}, "the frame is short"
	}
	payload := data[frameHeaderSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return frame{}, "the frame's checksum differs"
	}
	records, ok := splitRecords(payload)
	if !ok {
		return frame{}, "the frame's records don't fill it"
	}
	return frame{binary.LittleEndian.Uint64(data[4:]), records, int(size)}, ""
}

// frameExtent returns how long the frame at the start of data should be, if its header is good.
func frameExtent(data []byte, segment uint64) (int64, bool) {
	if len(data) < frameHeaderSize {
		return 0, false
	}
	valid := frameHeaderChecksum(data, segment) == binary.LittleEndian.Uint32(data[16:])
	return frameHeaderSize + int64(binary.LittleEndian.Uint32(data)), valid
}

// splitRecords cuts a payload into its records.
func splitRecords(payload []byte) ([][]byte, bool) {
	var records [][]byte
	for len(payload) > 0 {
		if len(payload) < recordHeaderSize {
			return nil, false
		}
		length := int64(binary.LittleEndian.Uint32(payload))
		payload = payload[recordHeaderSize:]
		if length > int64(len(payload)) {
			return nil, false
		}
		records = append(records, payload[:length:length])
		payload = payload[length:]
	}
	return records, true
}
