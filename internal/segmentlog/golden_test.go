package segmentlog_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The golden segments are a log's first segment with appended frames, and the segment with a snapshot that
// replaced it.
const (
	appendedSegment  = "0000000000000001.segment"
	compactedSegment = "0000000000000002.segment"
)

func goldenPath(segment string) string { return filepath.Join("testdata", "golden", segment) }

// checkGolden compares a segment that was written with the golden one byte for byte.
func checkGolden(c *qt.C, logDir, segment string) {
	c.Helper()
	written, err := os.ReadFile(filepath.Join(logDir, segment))
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

// TestGoldenSegmentsAreWrittenByteForByte writes the content of the golden segments: header, snapshot, frames
// of one and of several records, and the sync marker after the last frame.
func TestGoldenSegmentsAreWrittenByteForByte(t *testing.T) {
	c := qt.New(t)
	logDir := t.TempDir()
	log, _, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, records := range appendedFrames() {
		c.Assert(log.Append(records...), qt.IsNil)
	}
	checkGolden(c, logDir, appendedSegment)
	frames := compactedFrames()
	c.Assert(log.Compact(frames[0]), qt.IsNil)
	c.Assert(log.Append(frames[1]...), qt.IsNil)
	c.Assert(log.Close(), qt.IsNil)
	checkGolden(c, logDir, compactedSegment)
}

// TestGoldenSegmentsAreRead opens a copy of each golden segment, and inspects it.
func TestGoldenSegmentsAreRead(t *testing.T) {
	for segment, frames := range map[string][][][]byte{
		appendedSegment: appendedFrames(), compactedSegment: compactedFrames()} {
		t.Run(segment, func(t *testing.T) {
			c := qt.New(t)
			logDir := t.TempDir()
			golden, err := os.ReadFile(goldenPath(segment))
			c.Assert(err, qt.IsNil)
			c.Assert(os.WriteFile(filepath.Join(logDir, segment), golden, 0o600), qt.IsNil)
			var want [][]byte
			for _, records := range frames {
				want = append(want, records...)
			}
			reports, err := segmentlog.Inspect(segmentlog.OSFS{}, logDir)
			c.Assert(err, qt.IsNil)
			c.Assert(reports, qt.HasLen, 1)
			c.Assert(reports[0].Problem, qt.IsNil)
			c.Assert(reports[0].TornBytes, qt.Equals, int64(0))
			c.Assert(reports[0].Records, qt.DeepEquals, want)
			log, records, err := segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
			c.Assert(err, qt.IsNil)
			defer log.Close()
			c.Assert(records, qt.DeepEquals, want)
		})
	}
}
