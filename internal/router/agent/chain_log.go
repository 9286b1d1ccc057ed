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
	chainFolder = "chain"
	// compactFraction of the disk is the size at which the log is compacted to a snapshot, at least
	// minCompactBytes.
	compactFraction = 0.25
	minCompactBytes = 1 << 20
)

// chainLog makes the records of the state machine durable. Without a disk, as at a process that only
// bootstraps the fleet, it persists nothing. Its methods belong to the chain goroutine, before that starts to
// the one that opens the member, and after its end to the one that closes it.
type chainLog struct {
	files        segmentlog.FS
	dataDir      string // "" without a disk
	compactBytes int64  // a log that is larger is compacted
	now          func() time.Duration
	log          zerolog.Logger
	writes       *metrics.Histogram // times of synced writes

	segments *segmentlog.Log // nil without a disk, and until open succeeds
}

func newChainLog(p *process) *chainLog {
	limit := int64(compactFraction * float64(p.settings.DiskBytes))
	return &chainLog{files: p.files, dataDir: p.settings.DataDir, compactBytes: max(limit, minCompactBytes),
		now: p.now, log: p.log, writes: &p.metrics.diskWrites}
}

// open opens the log and returns its records. A corrupt log is replaced by an empty one: the machine then has
// a new identity, which has accepted nothing, and joins like one with an empty disk.
func (l *chainLog) open() ([][]byte, error) {
	if l.dataDir == "" {
		return nil, nil
	}
	folder := filepath.Join(l.dataDir, chainFolder)
	if err := l.files.MakeDir(folder); err != nil {
		return nil, err
	}
	if err := l.files.SyncDir(l.dataDir); err != nil { // else the folder may not survive a power loss
		return nil, err
	}
	segments, records, damage, err := segmentlog.OpenOrReset(l.files, folder, segmentlog.Options{})
	if damage != nil {
		l.log.Error().Err(damage).Msg("chain: log corrupt; starting with an empty one")
	}
	l.segments = segments
	return records, err
}

// persist makes records durable. Where the log has grown too large, it then replaces it by the records of a
// snapshot.
func (l *chainLog) persist(records [][]byte, snapshot func() [][]byte) error {
	if len(records) == 0 || l.segments == nil {
		return nil
	}
	start := l.now()
	err := l.segments.Append(records...)
	l.writes.Observe(l.now() - start)
	if err != nil {
		return fmt.Errorf("appending to the log of the chain: %w", err)
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
