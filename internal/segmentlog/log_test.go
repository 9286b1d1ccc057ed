package segmentlog_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog"
	"cresshub/internal/segmentlog/faultfs"
)

const dir = "state"

// register is an owner of a log whose state is its last record.
type register struct {
	log  *segmentlog.Log
	last []byte
}

// openRegister opens a log that is compacted after a few records.
func openRegister(fs segmentlog.FS, dir string) (*register, error) {
	r := &register{}
	options := segmentlog.Options{
		Snapshot:  func() [][]byte { return [][]byte{r.last} },
		MaxGrowth: 200,
	}
	log, records, err := segmentlog.Open(fs, dir, options)
	if err != nil {
		return nil, err
	}
	r.log = log
	if len(records) > 0 {
		r.last = records[len(records)-1]
	}
	return r, nil
}

// set appends a record.
func (r *register) set(value string) error {
	old := r.last
	r.last = []byte(value)
	if err := r.log.Append(r.last); err != nil {
		r.last = old
		return err
	}
	return nil
}

func TestRecordsAreReadBackInOrder(t *testing.T) {
	c := qt.New(t)
	for _, fs := range []segmentlog.FS{faultfs.New(), segmentlog.OSFS{}} {
		folder := filepath.Join(t.TempDir(), dir)
		log, records, err := segmentlog.Open(fs, folder, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(records, qt.HasLen, 0)
		c.Assert(log.Append([]byte("one"), nil), qt.IsNil)
		c.Assert(log.Append([]byte("three")), qt.IsNil)
		c.Assert(log.Close(), qt.IsNil)
		c.Assert(log.Append(nil), qt.Equals, segmentlog.ErrClosed)
		_, records, err = segmentlog.Open(fs, folder, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(fmt.Sprintf("%s", records), qt.Equals, "[one  three]")
	}
}

func TestCompactionKeepsOneSegment(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	r, err := openRegister(fs, dir)
	c.Assert(err, qt.IsNil)
	for i := range 50 {
		c.Assert(r.set(fmt.Sprint("value ", i)), qt.IsNil)
		c.Assert(r.log.Size() < 400, qt.IsTrue)
	}
	reports, err := segmentlog.Inspect(fs, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(reports, qt.HasLen, 1)
	c.Assert(reports[0].Problem, qt.IsNil)
	r, err = openRegister(fs, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(string(r.last), qt.Equals, "value 49")
}

// TestFaultAtEachOperation breaks a run at each numbered operation in turn, with each kind of fault and loss,
// and reads back: the value that was acknowledged last, or the one that was under way.
func TestFaultAtEachOperation(t *testing.T) {
	c := qt.New(t)
	losses := []faultfs.Loss{faultfs.KeepAll, faultfs.LoseAll, faultfs.LoseSome}
	for _, fault := range []faultfs.Fault{faultfs.CrashBefore, faultfs.CrashAfter, faultfs.FailIO} {
		for _, first := range losses {
			for _, second := range losses {
				number := 1
				for runWithFault(c, fault, []faultfs.Loss{first, second}, number) {
					number++
				}
				c.Assert(number > 20, qt.IsTrue)
			}
		}
	}
}

// runWithFault writes values with one fault on the way and checks what comes back after each of the losses.
// It returns false if the run was too short for the fault.
func runWithFault(c *qt.C, fault faultfs.Fault, losses []faultfs.Loss, operation int) bool {
	random := rand.New(rand.NewSource(int64(operation)))
	fs := faultfs.New()
	fs.FaultAt(operation, fault)
	acknowledged, attempted := "", ""
	r, err := openRegister(fs, dir)
	for i := 0; err == nil && i < 12; i++ {
		attempted = fmt.Sprint("value ", i)
		if err = r.set(attempted); err == nil {
			acknowledged = attempted
		} else if !fs.Down() {
			err = nil
		}
	}
	reached := fs.Operations >= operation
	for _, loss := range losses {
		fs.Crash()
		fs.Restart(loss, random)
		r, err = openRegister(fs, dir)
		c.Assert(err, qt.IsNil, qt.Commentf("fault %d at %d, loss %d", fault, operation, loss))
		value := string(r.last)
		c.Assert(value == acknowledged || value == attempted, qt.IsTrue,
			qt.Commentf("fault %d at %d, loss %d: %q came back, %q was acknowledged", fault, operation, loss, value,
				acknowledged))
		acknowledged, attempted = value, value
	}
	c.Assert(r.set("after"), qt.IsNil)
	return reached
}

func TestFullDiskLeavesTheLogUnchanged(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(log.Append([]byte("one")), qt.IsNil)
	fs.Capacity = 150
	var failed *segmentlog.WriteError
	for range 3 {
		err = log.Append(make([]byte, 200))
		c.Assert(errors.As(err, &failed), qt.IsTrue)
		c.Assert(errors.Is(err, faultfs.ErrNoSpace), qt.IsTrue)
	}
	c.Assert(log.Append([]byte("two")), qt.IsNil)
	reports, err := segmentlog.Inspect(fs, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(reports[0].TornBytes, qt.Equals, int64(0))
	fs.Crash()
	fs.Restart(faultfs.LoseAll, nil)
	_, records, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(fmt.Sprintf("%s", records), qt.Equals, "[one two]")
}

func TestLargeRecordsFitTheSmallestDisk(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	fs.Capacity = 16 << 20
	last := []byte{}
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{
		Snapshot: func() [][]byte { return [][]byte{last} },
	})
	c.Assert(err, qt.IsNil)
	for i := range 10 {
		last = make([]byte, 4<<20)
		last[0] = byte(i)
		c.Assert(log.Append(last), qt.IsNil)
	}
	c.Assert(log.Append(make([]byte, 33<<20)), qt.ErrorMatches, ".*write less at once")
}

// writeLog returns a folder of the machine with three frames behind the snapshot, and the segment's file.
func writeLog(c *qt.C) (folder, file string) {
	folder = c.Mkdir()
	log, _, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, value := range []string{"one", "two", "three"} {
		c.Assert(log.Append([]byte(value)), qt.IsNil)
	}
	c.Assert(log.Close(), qt.IsNil)
	return folder, filepath.Join(folder, "0000000000000001.segment")
}

// headerSize is how long a segment's header is; a newer release has the same.
const headerSize = 8 + 4 + 8 + 4

// markerSize is how long the mark behind the last frame is.
const markerSize = 20

// TestEachFlippedByteIsDetected flips each byte, with the mark behind the last frame and without, as a crash
// may lose it. Only damage to the mark itself does no harm.
func TestEachFlippedByteIsDetected(t *testing.T) {
	c := qt.New(t)
	folder, file := writeLog(c)
	whole, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	frames := len(whole) - markerSize
	for _, good := range [][]byte{whole, whole[:frames]} {
		for offset := range good {
			bad := append([]byte(nil), good...)
			bad[offset] ^= 0x40
			c.Assert(os.WriteFile(file, bad, 0o600), qt.IsNil)
			reports, err := segmentlog.Inspect(segmentlog.OSFS{}, folder)
			c.Assert(err, qt.IsNil)
			_, records, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
			if offset >= frames {
				c.Assert(err, qt.IsNil)
				c.Assert(records, qt.HasLen, 3)
				c.Assert(reports[0].TornBytes, qt.Equals, int64(markerSize))
				continue
			}
			var damaged *segmentlog.CorruptionError
			c.Assert(errors.As(err, &damaged), qt.IsTrue, qt.Commentf("%d: %v", offset, err))
			c.Assert(reports[0].Problem.Error(), qt.Equals, err.Error())
		}
	}
}

// TestCorruptionBeforeAPartialMarkerIsDetected flips each byte of the last frame, behind which the mark was
// written in part.
func TestCorruptionBeforeAPartialMarkerIsDetected(t *testing.T) {
	c := qt.New(t)
	_, file := writeLog(c)
	whole, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	frames := len(whole) - markerSize
	last := frames - 20 - 4 - len("three")
	for offset := last + 4; offset < frames; offset++ { // by a bad length the frame's end isn't known
		bad := append([]byte(nil), whole[:frames+markerSize/2]...)
		bad[offset] ^= 1
		_, _, err = openContent(c, bad)
		var damaged *segmentlog.CorruptionError
		c.Assert(errors.As(err, &damaged), qt.IsTrue, qt.Commentf("%d: %v", offset-last, err))
	}
}

func TestTruncatedLastFrameIsTorn(t *testing.T) {
	c := qt.New(t)
	folder, file := writeLog(c)
	good, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	for cut := 1; cut < markerSize+20+4+len("three"); cut++ {
		c.Assert(os.WriteFile(file, good[:len(good)-cut], 0o600), qt.IsNil)
		log, records, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
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

// TestTornWritesAreDistinguishedFromCorruption writes a frame of some sectors over the mark of the one
// before, at each offset in a sector, and leaves each choice of its sectors as they were. None of these is
// damage, and each flip of a byte in the whole frame is.
func TestTornWritesAreDistinguishedFromCorruption(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(1))
	for shift := range 512 {
		fs := faultfs.New()
		log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(log.Append(bytes.Repeat([]byte("a"), 1+shift)), qt.IsNil)
		file := dir + "/0000000000000001.segment"
		before, err := fs.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(log.Append(bytes.Repeat([]byte("b"), 400+random.Intn(700))), qt.IsNil)
		after, err := fs.ReadFile(file)
		c.Assert(err, qt.IsNil)
		after = after[:len(after)-markerSize]
		first := (len(before) - markerSize) / 512
		sectors := (len(after)-1)/512 - first + 1
		for choice := range 2 << sectors {
			lost, before := choice>>1, before
			if choice%2 == 0 {
				before = before[:len(before)-markerSize] // the mark was never on the disk
			}
			torn := append([]byte(nil), after...)
			for sector := range sectors {
				if lost&(1<<sector) != 0 {
					loseSector(torn, before, (first+sector)*512)
				}
			}
			c.Assert(hasSecondRecord(c, torn), qt.Equals, lost == 0, qt.Commentf("shift %d, lost %b", shift, lost))
		}
		rotten := append([]byte(nil), after...)
		rotten[len(before)-markerSize+random.Intn(len(after)-len(before)+markerSize)] ^= 1 << random.Intn(8)
		_, _, err = openContent(c, rotten)
		var damaged *segmentlog.CorruptionError
		c.Assert(errors.As(err, &damaged), qt.IsTrue, qt.Commentf("shift %d: %v", shift, err))
	}
}

// TestWriteTornInsideASectorIsTorn keeps only the first or only the last bytes of a frame, with the mark
// before it or zeros in place of the others.
func TestWriteTornInsideASectorIsTorn(t *testing.T) {
	c := qt.New(t)
	folder, file := writeLog(c)
	whole, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	whole = whole[:len(whole)-markerSize]
	start := len(whole) - (20 + 4 + len("three"))
	mark := markerAfter(c, "one", "two")
	for kept := 1; kept < len(whole)-start; kept++ {
		for _, old := range [][]byte{mark, nil} {
			before := make([]byte, len(whole)-start)
			copy(before, old)
			first := slices.Concat(whole[:start+kept], before[kept:])
			last := slices.Concat(whole[:start], before[:len(before)-kept], whole[len(whole)-kept:])
			for _, torn := range [][]byte{first, last} {
				c.Assert(os.WriteFile(file, torn, 0o600), qt.IsNil)
				_, records, err := segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
				c.Assert(err, qt.IsNil, qt.Commentf("%d bytes kept", kept))
				c.Assert(records, qt.HasLen, 2)
			}
		}
	}
}

// markerAfter returns the mark that a log writes behind some records.
func markerAfter(c *qt.C, records ...string) []byte {
	fs := faultfs.New()
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	for _, record := range records {
		c.Assert(log.Append([]byte(record)), qt.IsNil)
	}
	data, err := fs.ReadFile(dir + "/0000000000000001.segment")
	c.Assert(err, qt.IsNil)
	return data[len(data)-markerSize:]
}

// loseSector sets a sector back to what it was, zeros behind the end.
func loseSector(data, before []byte, start int) {
	for i := start; i < min(start+512, len(data)); i++ {
		data[i] = 0
		if i < len(before) {
			data[i] = before[i]
		}
	}
}

// openContent opens a log whose segment has that content.
func openContent(c *qt.C, data []byte) (*segmentlog.Log, [][]byte, error) {
	fs := faultfs.New()
	file, err := fs.Create(dir + "/0000000000000001.segment")
	c.Assert(err, qt.IsNil)
	_, err = file.WriteAt(data, 0)
	c.Assert(err, qt.IsNil)
	return segmentlog.Open(fs, dir, segmentlog.Options{})
}

// hasSecondRecord opens a log whose last frame may be torn and tells whether that frame is there.
func hasSecondRecord(c *qt.C, data []byte) bool {
	_, records, err := openContent(c, data)
	c.Assert(err, qt.IsNil)
	return len(records) == 2
}

// TestLostSectorBeforeAMarkerIsCorruption: zeros in a frame that is known to be synced are damage.
func TestLostSectorBeforeAMarkerIsCorruption(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	log, _, err := segmentlog.Open(fs, dir, segmentlog.Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(log.Append(bytes.Repeat([]byte("a"), 2000)), qt.IsNil)
	data, err := fs.ReadFile(dir + "/0000000000000001.segment")
	c.Assert(err, qt.IsNil)
	loseSector(data, nil, 512)
	_, _, err = openContent(c, data)
	var damaged *segmentlog.CorruptionError
	c.Assert(errors.As(err, &damaged), qt.IsTrue, qt.Commentf("%v", err))
	_, records, err := openContent(c, data[:len(data)-markerSize]) // this isn't told apart
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 0)
}

// TestOpenOrResetStartsEmptyAfterCorruption breaks the beginning at each operation: neither the damaged
// segment nor an older one that a crash has left ever counts again.
func TestOpenOrResetStartsEmptyAfterCorruption(t *testing.T) {
	c := qt.New(t)
	for number := 1; ; number++ {
		fs := faultfs.New()
		r, err := openRegister(fs, dir)
		c.Assert(err, qt.IsNil)
		c.Assert(r.set("old"), qt.IsNil)
		older, err := fs.ReadFile(dir + "/0000000000000001.segment")
		c.Assert(err, qt.IsNil)
		c.Assert(r.log.Compact([][]byte{[]byte("newer")}), qt.IsNil)
		leftover, err := fs.Create(dir + "/0000000000000001.segment")
		c.Assert(err, qt.IsNil)
		_, err = leftover.WriteAt(older, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(leftover.Sync(), qt.IsNil)
		c.Assert(fs.Corrupt(dir+"/0000000000000002.segment", 50), qt.IsNil)
		fs.FaultAt(number, faultfs.CrashAfter)
		before := fs.Operations
		_, records, damage, err := segmentlog.OpenOrReset(fs, dir, segmentlog.Options{})
		if err == nil && fs.Operations < before+number {
			c.Assert(damage, qt.IsNotNil)
			c.Assert(records, qt.HasLen, 0)
			c.Assert(number > 4, qt.IsTrue)
			return
		}
		fs.Crash()
		fs.Restart(faultfs.LoseSome, rand.New(rand.NewSource(int64(number))))
		log, records, _, err := segmentlog.OpenOrReset(fs, dir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(records, qt.HasLen, 0)
		c.Assert(log.Append([]byte("new")), qt.IsNil)
		_, records, damage, err = segmentlog.OpenOrReset(fs, dir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(damage == nil, qt.IsTrue)
		c.Assert(fmt.Sprintf("%s", records), qt.Equals, "[new]")
	}
}

func TestNewerFormatIsRejected(t *testing.T) {
	c := qt.New(t)
	folder, file := writeLog(c)
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	data[len("CHSEGLOG")] = 2
	sum := crc32.Checksum(data[:headerSize-4], crc32.MakeTable(crc32.Castagnoli))
	binary.LittleEndian.PutUint32(data[headerSize-4:], sum)
	c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	_, _, err = segmentlog.Open(segmentlog.OSFS{}, folder, segmentlog.Options{})
	c.Assert(err, qt.ErrorMatches, ".*has format 2 and this release reads up to 1; start the newer release.*")
}

func TestInspectChangesNothing(t *testing.T) {
	c := qt.New(t)
	fs := faultfs.New()
	r, err := openRegister(fs, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(r.set("one"), qt.IsNil)
	before := fs.Operations
	reports, err := segmentlog.Inspect(fs, dir)
	c.Assert(err, qt.IsNil)
	c.Assert(reports, qt.HasLen, 1)
	c.Assert(reports[0].Current, qt.IsTrue)
	c.Assert(reports[0].Frames, qt.Equals, 2)
	c.Assert(fmt.Sprintf("%s", reports[0].Records), qt.Equals, "[one]")
	c.Assert(fs.Operations, qt.Equals, before)
}
