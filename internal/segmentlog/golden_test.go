package segmentlog_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog"
)

var update = flag.Bool("update", false, "write the golden files anew")

// The golden segments are one as it is first appended to, and the one that took its place with a snapshot.
const (
	appendedSegment  = "0000000000000001.segment"
	compactedSegment = "0000000000000002.segment"
)

func goldenPath(segment string) string { return filepath.Join("testdata", "golden", segment) }

// checkGolden compares a segment that was written with the golden one byte for byte.
func checkGolden(c *qt.C, folder, segment string) {
	c.Helper()
	written, err := os.ReadFile(filepath.Join(folder, segment))
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.MkdirAll(filepath.Dir(goldenPath(segment)), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(goldenPath(segment), written, 0o644), qt.IsNil)
	}
	golden, err := os.ReadFile(goldenPath(segment))
	c.Assert(err, qt.IsNil)
	c.Assert(written, qt.DeepEquals, golden)
}

func appendedFrames() [][][]byte {
	return [][][]byte{{[]byte("one")}, {[]byte("two"), {}, []byte("three\x00\xff")}}
}

func compactedFrames() [][][]byte {
	return [][][]byte{{[]byte("snapshot"), []byte("of all")}, {[]byte("behind the snapshot")}}
}

// TestGoldenSegmentsAreWrittenByteForByte writes what the golden segments hold: header, snapshot, frames of
// one and of more records, and the mark behind the last frame.
func TestGoldenSegmentsAreWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	log, _, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, records := range appendedFrames() {
		c.Assert(log.Append(records...), qt.IsNil)
	}
	checkGolden(c, folder, appendedSegment)
	frames := compactedFrames()
	c.Assert(log.Compact(frames[0]), qt.IsNil)
	c.Assert(log.Append(frames[1]...), qt.IsNil)
	c.Assert(log.Close(), qt.IsNil)
	checkGolden(c, folder, compactedSegment)
}

// TestGoldenSegmentsAreRead opens a copy of each golden segment, and inspects it.
func TestGoldenSegmentsAreRead(t *testing.T) {
	for segment, frames := range map[string][][][]byte{
		appendedSegment: appendedFrames(), compactedSegment: compactedFrames()} {
		t.Run(segment, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			golden, err := os.ReadFile(goldenPath(segment))
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(folder, segment), golden, 0o600), qt.IsNil)
			var wanted [][]byte
			for _, records := range frames {
				wanted = append(wanted, records...)
			}
			reports, err := segmentlog.Inspect(segmentlog.OSFS{}, folder)
			c.Assert(err, qt.IsNil)
			c.Assert(reports, qt.HasLen, 1)
			c.Assert(reports[0].Problem, qt.IsNil)
			c.Assert(reports[0].TornBytes, qt.Equals, int64(0))
			c.Assert(reports[0].Records, qt.DeepEquals, wanted)
			log, records, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
			c.Assert(err, qt.IsNil)
			defer log.Close()
			c.Assert(records, qt.DeepEquals, wanted)
		})
	}
}
