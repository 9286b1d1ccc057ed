package segmentlog_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/segmentlog"
	"cresshub/internal/segmentlog/faultfs"
)

const dir = "state"

// register is a log's owner whose state is the last record.
type register struct {
	log  *segmentlog.Log
	last []byte
}

// openRegister opens a register whose log is compacted after a few records.
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
		logDir := filepath.Join(t.TempDir(), dir)
		log, records, err := segmentlog.Open(fs, logDir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(records, qt.HasLen, 0)
		c.Assert(log.Append([]byte("one"), nil), qt.IsNil)
		c.Assert(log.Append([]byte("three")), qt.IsNil)
		c.Assert(log.Close(), qt.IsNil)
		c.Assert(log.Append(nil), qt.Equals, segmentlog.ErrClosed)
		_, records, err = segmentlog.Open(fs, logDir, segmentlog.Options{})
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

// TestFaultAtEachOperation injects each kind of fault at each numbered operation, followed by each kind of
// loss. The value that is read back must be the last one acknowledged or the one that was being written.
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

// runWithFault writes values with a fault at one operation and checks the value that is read back after each
// of the losses. It returns false if the run ended before it reached that operation.
func runWithFault(c *qt.C, fault faultfs.Fault, losses []faultfs.Loss, operation int) bool {
	c.Helper()
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

// TestOpenOrResetStartsEmptyAfterCorruption crashes the reset at each operation: no record of the corrupt
// segment, or of an older one that a crash has left, is ever read again.
func TestOpenOrResetStartsEmptyAfterCorruption(t *testing.T) {
	c := qt.New(t)
	for number := 1; ; number++ {
		fs := faultfs.New()
		r, err := openRegister(fs, dir)
		c.Assert(err, qt.IsNil)
		c.Assert(r.set("old"), qt.IsNil)
		older, err := fs.ReadFile(dir + "/" + firstSegment)
		c.Assert(err, qt.IsNil)
		c.Assert(r.log.Compact([][]byte{[]byte("newer")}), qt.IsNil)
		leftover, err := fs.Create(dir + "/" + firstSegment)
		c.Assert(err, qt.IsNil)
		_, err = leftover.WriteAt(older, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(leftover.Sync(), qt.IsNil)
		c.Assert(fs.Corrupt(dir+"/0000000000000002.segment", 50), qt.IsNil)
		fs.FaultAt(number, faultfs.CrashAfter)
		before := fs.Operations
		_, records, corruption, err := segmentlog.OpenOrReset(fs, dir, segmentlog.Options{})
		if err == nil && fs.Operations < before+number {
			c.Assert(corruption, qt.IsNotNil)
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
		_, records, corruption, err = segmentlog.OpenOrReset(fs, dir, segmentlog.Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(corruption == nil, qt.IsTrue)
		c.Assert(fmt.Sprintf("%s", records), qt.Equals, "[new]")
	}
}

func TestNewerFormatIsRejected(t *testing.T) {
	c := qt.New(t)
	logDir, file := writeLog(c)
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	data[len("CHSEGLOG")] = 2
	sum := crc32.Checksum(data[:segmentHeaderSize-4], crc32.MakeTable(crc32.Castagnoli))
	binary.LittleEndian.PutUint32(data[segmentHeaderSize-4:], sum)
	c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	_, _, err = segmentlog.Open(segmentlog.OSFS{}, logDir, segmentlog.Options{})
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
