package segmentlog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// A segment is a header followed by frames, see frame.go. All numbers are little-endian. The header has the
// same layout in each format version, so that its checksum distinguishes a newer version from a corrupt one.
const (
	magic         = "CHSEGLOG"
	formatVersion = 1

	// headerSize is the size of magic, format version, segment number and the checksum of these, in bytes.
	headerSize = len(magic) + 4 + 8 + 4

	segmentSuffix   = ".segment"
	temporarySuffix = ".new"
)

// segmentName returns the file name of a segment.
func segmentName(number uint64) string {
	return fmt.Sprintf("%016x%s", number, segmentSuffix)
}

// segmentNumber returns the number in a segment's file name, and false for any other file.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && segmentName(number) == name
}

// appendHeader appends a segment's header to data.
func appendHeader(data []byte, number uint64) []byte {
	start := len(data)
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, formatVersion)
	data = binary.LittleEndian.AppendUint64(data, number)
	return binary.LittleEndian.AppendUint32(data, crc32.Checksum(data[start:], castagnoli))
}

// checkHeader checks a segment's header. It returns a *CorruptionError, or a *NewerFormatError.
func checkHeader(file string, data []byte, number uint64) error {
	if len(data) < headerSize || string(data[:len(magic)]) != magic {
		return &CorruptionError{File: file, Reason: "no segment header"}
	}
	sum := binary.LittleEndian.Uint32(data[headerSize-4:])
	if crc32.Checksum(data[:headerSize-4], castagnoli) != sum {
		return &CorruptionError{File: file, Reason: "segment header checksum mismatch"}
	}
	if version := binary.LittleEndian.Uint32(data[len(magic):]); version > formatVersion {
		return &NewerFormatError{File: file, Version: version}
	}
	if binary.LittleEndian.Uint64(data[len(magic)+4:]) != number {
		return &CorruptionError{File: file, Reason: "the header has the number of another segment"}
	}
	return nil
}

// segmentNumbers returns the numbers of the segments in a directory, lowest first.
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
