package agent

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/metrics"
	"cresshub/internal/segmentlog"
)

const (
	chainDir = "chain"
	// The log is compacted to a snapshot once it is larger than compactFraction of the disk's capacity, or than
	// minCompactBytes if that is more.
	compactFraction = 0.25
	minCompactBytes = 1 << 20
)

// chainLog makes the records of the state machine durable. Without a disk, as in a process that only
// bootstraps the fleet, it persists nothing. Its methods are called by one goroutine at a time: by the one
// that opens the member, then by the chain goroutine, and after that has ended by the one that closes the
// member.
type chainLog struct {
	files        segmentlog.FS
	dataDir      string // "" without a disk
	compactBytes int64  // size of the log above which it is compacted
	now          func() time.Duration
	log          zerolog.Logger
	writeTimes   *metrics.Histogram // times of synced writes

	segments *segmentlog.Log // nil without a disk, and until open succeeds
}

func newChainLog(p *process) *chainLog {
	limit := int64(compactFraction * float64(p.settings.DiskBytes))
	return &chainLog{files: p.files, dataDir: p.settings.DataDir, compactBytes: max(limit, minCompactBytes),
		now: p.now, log: p.log, writeTimes: &p.metrics.diskWriteTimes}
}

// open opens the log and returns its records. A corrupt log is replaced by an empty one: the machine then
// gets a new member identity, which has accepted nothing, and joins like a machine with an empty disk.
func (l *chainLog) open() ([][]byte, error) {
	if l.dataDir == "" {
		return nil, nil
	}
	dir := filepath.Join(l.dataDir, chainDir)
	if err := l.files.MakeDir(dir); err != nil {
		return nil, err
	}
	if err := l.files.SyncDir(l.dataDir); err != nil { // else the directory may not survive a power loss
		return nil, err
	}
	segments, records, damage, err := segmentlog.OpenOrReset(l.files, dir, segmentlog.Options{})
	if damage != nil {
		l.log.Error().Err(damage).Msg("chain: log corrupt; starting with an empty one")
	}
	l.segments = segments
	return records, err
}

// persist makes records durable. If the log is then larger than compactBytes, its records are replaced by
// those of a snapshot.
func (l *chainLog) persist(records [][]byte, snapshot func() [][]byte) error {
	if len(records) == 0 || l.segments == nil {
		return nil
	}
	start := l.now()
	err := l.segments.Append(records...)
	l.writeTimes.Observe(l.now() - start)
	if err != nil {
		return fmt.Errorf("appending to the chain log: %w", err)
	}
	if l.segments.Size() > l.compactBytes {
		if err := l.segments.Compact(snapshot()); err != nil {
			l.log.Warn().Err(err).Msg("chain: compaction failed")
		}
	}
	return nil
}

func (l *chainLog) close() {
	if l.segments == nil {
		return
	}
	if err := l.segments.Close(); err != nil {
		l.log.Warn().Err(err).Msg("chain: closing the log failed")
	}
}
