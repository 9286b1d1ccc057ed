package segmentlog_test

import (
	"bytes"
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog"
	"cresshub/internal/segmentlog/faultfs"
)

// firstSegment is the file name of a log's first segment.
const firstSegment = "0000000000000001.segment"

// The sizes of the format in bytes. The tests define them again so that they check the format on disk and
// don't follow a change of the package's constants.
const (
	segmentHeaderSize = 8 + 4 + 8 + 4 // newer formats must keep it
	lengthSize        = 4
	frameHeaderSize   = lengthSize + 8 + 4 + 4
	recordHeaderSize  = 4
	markerSize        = frameHeaderSize
	sectorSize        = 512
)

// writeLog writes a log of three frames after the snapshot to the operating system's file system, and returns
// its directory and the path of its segment.
func writeLog(c *qt.C) (logDir, file string) {
	c.Helper()
	logDir = c.TempDir()
	log, _, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, value := range []string{"one", "two", "three"} {
		c.Assert(log.Append([]byte(value)), qt.IsNil)
	}
	c.Assert(log.Close(), qt.IsNil)
	return logDir, filepath.Join(logDir, firstSegment)
}

// TestEachFlippedByteIsDetected flips a bit of each byte, with and without the marker after the last frame,
// which a crash may lose. All corruption is detected except that of the marker, which loses no record.
func TestEachFlippedByteIsDetected(t *testing.T) {
	c := qt.New(t)
	logDir, file := writeLog(c)
	complete, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	frames := len(complete) - markerSize
	for _, good := range [][]byte{complete, complete[:frames]} {
		for offset := range good {
			bad := append([]byte(nil), good...)
			bad[offset] ^= 0x40
			c.Assert(os.WriteFile(file, bad, 0o600), qt.IsNil)
			reports, err := segmentlog.Inspect(segmentlog.OSFS{}, logDir)
			c.Assert(err, qt.IsNil)
			_, records, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
			if offset >= frames {
				c.Assert(err, qt.IsNil)
				c.Assert(records, qt.HasLen, 3)
				c.Assert(reports[0].TornBytes, qt.Equals, int64(markerSize))
				continue
			}
			var corruption *segmentlog.CorruptionError
			c.Assert(errors.As(err, &corruption), qt.IsTrue, qt.Commentf("%d: %v", offset, err))
			c.Assert(reports[0].Problem.Error(), qt.Equals, err.Error())
		}
	}
}

// TestCorruptionBeforeAPartialMarkerIsDetected flips a bit of each byte of the last frame after its length
// field. Half of the frame's marker follows it.
func TestCorruptionBeforeAPartialMarkerIsDetected(t *testing.T) {
	c := qt.New(t)
	_, file := writeLog(c)
	complete, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	frames := len(complete) - markerSize
	last := frames - frameHeaderSize - recordHeaderSize - len("three")
	for offset := last + lengthSize; offset < frames; offset++ { // a corrupt length hides where the frame ends
		bad := append([]byte(nil), complete[:frames+markerSize/2]...)
		bad[offset] ^= 1
		_, _, err = openContent(c, bad)
		var corruption *segmentlog.CorruptionError
		c.Assert(errors.As(err, &corruption), qt.IsTrue, qt.Commentf("%d: %v", offset-last, err))
	}
}

func TestTruncatedLastFrameIsTorn(t *testing.T) {
	c := qt.New(t)
	logDir, file := writeLog(c)
	good, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	for cut := 1; cut < markerSize+frameHeaderSize+recordHeaderSize+len("three"); cut++ {
		c.Assert(os.WriteFile(file, good[:len(good)-cut], 0o600), qt.IsNil)
		log, records, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		if cut <= markerSize {
			c.Assert(records, qt.HasLen, 3)
			continue
		}
		c.Assert(records, qt.HasLen, 2)
		c.Assert(log.Append([]byte("three")), qt.IsNil)
		again, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, good)
	}
}

// TestTornWritesAreDistinguishedFromCorruption writes a frame that spans several sectors over the marker of
// the previous frame, at each offset in a sector, and reverts each subset of its sectors to their old
// content. All of these are torn writes; a flipped bit in the complete frame is corruption.
func TestTornWritesAreDistinguishedFromCorruption(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(1))
	for shift := range sectorSize {
		fs := faultfs.New()
		log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(log.Append(bytes.Repeat([]byte("a"), 1+shift)), qt.IsNil)
		file := dir + "/" + firstSegment
		before, err := fs.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(log.Append(bytes.Repeat([]byte("b"), 400+random.Intn(700))), qt.IsNil)
		after, err := fs.ReadFile(file)
		c.Assert(err, qt.IsNil)
		after = after[:len(after)-markerSize]
		first := (len(before) - markerSize) / sectorSize
		sectors := (len(after)-1)/sectorSize - first + 1
		for choice := range 2 << sectors {
			lost, before := choice>>1, before
			if choice%2 == 0 {
				before = before[:len(before)-markerSize] // the marker was never on the disk
			}
			torn := append([]byte(nil), after...)
			for sector := range sectors {
				if lost&(1<<sector) != 0 {
					loseSector(torn, before, (first+sector)*sectorSize)
				}
			}
			c.Assert(hasSecondRecord(c, torn), qt.Equals, lost == 0, qt.Commentf("shift %d, lost %b", shift, lost))
		}
		corrupt := append([]byte(nil), after...)
		corrupt[len(before)-markerSize+random.Intn(len(after)-len(before)+markerSize)] ^= 1 << random.Intn(8)
		_, _, err = openContent(c, corrupt)
		var corruption *segmentlog.CorruptionError
		c.Assert(errors.As(err, &corruption), qt.IsTrue, qt.Commentf("shift %d: %v", shift, err))
	}
}

// TestWriteTornInsideASectorIsTorn keeps only the first or only the last bytes of a frame, with the marker
// that was there before, or zeros, in place of the other bytes.
func TestWriteTornInsideASectorIsTorn(t *testing.T) {
	c := qt.New(t)
	logDir, file := writeLog(c)
	complete, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	complete = complete[:len(complete)-markerSize]
	start := len(complete) - (frameHeaderSize + recordHeaderSize + len("three"))
	marker := markerAfter(c, "one", "two")
	for kept := 1; kept < len(complete)-start; kept++ {
		for _, old := range [][]byte{marker, nil} {
			before := make([]byte, len(complete)-start)
			copy(before, old)
			first := slices.Concat(complete[:start+kept], before[kept:])
			last := slices.Concat(complete[:start], before[:len(before)-kept], complete[len(complete)-kept:])
			for _, torn := range [][]byte{first, last} {
				c.Assert(os.WriteFile(file, torn, 0o600), qt.IsNil)
				_, records, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
				c.Assert(err, qt.IsNil, qt.Commentf("%d bytes kept", kept))
				c.Assert(records, qt.HasLen, 2)
			}
		}
	}
}

// markerAfter returns the marker that a log writes after some records.
func markerAfter(c *qt.C, records ...string) []byte {
	c.Helper()
	fs := faultfs.New()
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, record := range records {
		c.Assert(log.Append([]byte(record)), qt.IsNil)
	}
	data, err := fs.ReadFile(dir + "/" + firstSegment)
	c.Assert(err, qt.IsNil)
	return data[len(data)-markerSize:]
}

// loseSector reverts a sector to its content in before, with zeros beyond the end of before.
func loseSector(data, before []byte, start int) {
	for i := start; i < min(start+sectorSize, len(data)); i++ {
		data[i] = 0
		if i < len(before) {
			data[i] = before[i]
		}
	}
}

// openContent opens a log whose segment has that content.
func openContent(c *qt.C, data []byte) (*segmentlog.Log, [][]byte, error) {
	c.Helper()
	fs := faultfs.New()
	file, err := fs.Create(dir + "/" + firstSegment)
	c.Assert(err, qt.IsNil)
	_, err = file.WriteAt(data, 0)
	c.Assert(err, qt.IsNil)
	return segmentlog.Open(fs, dir, segmentlog.Options{})
}

// hasSecondRecord opens a log whose second frame may be torn and reports whether that frame is there.
func hasSecondRecord(c *qt.C, data []byte) bool {
	c.Helper()
	_, records, err := openContent(c, data)
	c.Assert(err, qt.IsNil)
	return len(records) == 2
}

// TestLostSectorBeforeAMarkerIsCorruption fills a sector of a frame with zeros. With a marker after it the
// frame is known to be synced, and the zeros are corruption; without the marker they are taken for a torn
// write.
func TestLostSectorBeforeAMarkerIsCorruption(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(log.Append(bytes.Repeat([]byte("a"), 2000)), qt.IsNil)
	data, err := fs.ReadFile(dir + "/" + firstSegment)
	c.Assert(err, qt.IsNil)
	loseSector(data, nil, sectorSize)
	_, _, err = openContent(c, data)
	var corruption *segmentlog.CorruptionError
	c.Assert(errors.As(err, &corruption), qt.IsTrue, qt.Commentf("%v", err))
	_, records, err := openContent(c, data[:len(data)-markerSize]) // taken for a torn write
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 0)
}
