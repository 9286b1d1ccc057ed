package segmentlog

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload, which is a sequence of records, each preceded by its length.
const (
	// frameHeaderSize is the size of payload length, sequence, payload checksum and header checksum, in bytes.
	frameHeaderSize = 4 + 8 + 4 + 4
	// recordHeaderSize is the size of a record's length, in bytes.
	recordHeaderSize = 4
	// maxPayload is the longest payload that Append writes, in bytes.
	maxPayload = 32 << 20
)

// castagnoli is the CRC-32C table, which all checksums use.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameSize returns the size of the frame of some records in bytes.
func frameSize(records [][]byte) int64 {
	size := int64(frameHeaderSize)
	for _, record := range records {
		size += recordHeaderSize + int64(len(record))
	}
	return size
}

// appendFrame appends a frame to data.
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

// syncMarker returns the frame without records that is written, but not synced, after a frame that was
// synced. It has the sequence of the next frame, which overwrites it.
func syncMarker(segment, nextSequence uint64) []byte {
	return appendFrame(nil, segment, nextSequence, nil)
}

// isSyncMarker reports whether a frame is a sync marker. A snapshot, too, may have no records.
func (f *frame) isSyncMarker() bool { return len(f.records) == 0 && f.sequence > 0 }

// frameHeaderChecksum returns the checksum of a frame's header and its segment's number. The number keeps a
// frame that was copied from another segment, for example as the data of a record, from being taken for a
// frame of this one.
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

// decodeFrame decodes the frame at the start of data. If that is not a valid frame of the segment, the
// returned string says why; otherwise it is empty.
func decodeFrame(data []byte, segment uint64) (frame, string) {
	if len(data) < frameHeaderSize {
		return frame{}, "the frame header is truncated"
	}
	size, headerValid := frameExtent(data, segment)
	if !headerValid {
		return frame{}, "frame header checksum mismatch"
	}
	if size > int64(len(data)) {
		return frame{}, "the frame is truncated"
	}
	payload := data[frameHeaderSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return frame{}, "frame payload checksum mismatch"
	}
	records, ok := splitRecords(payload)
	if !ok {
		return frame{}, "the record lengths do not match the frame size"
	}
	return frame{binary.LittleEndian.Uint64(data[4:]), records, int(size)}, ""
}

// frameExtent returns the size in bytes that the header at the start of data gives for its frame, and whether
// that header is valid.
func frameExtent(data []byte, segment uint64) (int64, bool) {
	if len(data) < frameHeaderSize {
		return 0, false
	}
	valid := frameHeaderChecksum(data, segment) == binary.LittleEndian.Uint32(data[16:])
	return frameHeaderSize + int64(binary.LittleEndian.Uint32(data)), valid
}

// splitRecords splits a payload into its records. It returns false if their lengths don't match its size.
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
