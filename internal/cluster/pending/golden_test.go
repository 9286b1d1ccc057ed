package pending

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"cresshub/internal/cluster/ledger"
	"cresshub/internal/testbed/goldenfile"
)

// goldenLastIncarnation is the last incarnation that is stored in the outbox before the test opens it. It is
// so high that the next one doesn't depend on the clock.
const goldenLastIncarnation = 1 << 62

// goldenBatch returns the batch in the golden outbox. It has only one key, since several would be encoded
// in the random order of a map.
func goldenBatch() *ledger.Batch {
	return &ledger.Batch{Member: "odori-1", Incarnation: goldenLastIncarnation + 1, Seq: 1,
		Usage: []ledger.KeyUsage{{
			Key:   ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"},
			Usage: ledger.Usage{Count: 1, BytesIn: 21, BytesOut: 22}, IDs: []uint64{31, 1<<64 - 1},
			BytesInByID:  []int64{32, 33},
			BytesOutByID: []int64{34, 35}}}}
}

// openGoldenOutbox writes the records in text to an outbox, and opens that by a Recorder. It returns the
// path of the outbox as well.
func openGoldenOutbox(t *testing.T, text string) (*Recorder, string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "outbox.db")
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error {
		for line := range strings.Lines(text) {
			var bucket string
			var key, value []byte
			if _, err := fmt.Sscanf(line, "%s %x %x\n", &bucket, &key, &value); err != nil {
				return err
			}
			b, err := tx.CreateBucketIfNotExists([]byte(bucket))
			if err := errors.Join(err, b.Put(key, value)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := Open(Options{Member: "odori-1", Dir: dir, FlushInterval: time.Hour, MaxQueuedBytes: 1 << 20,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r, path
}

// outboxRecords returns the records in an outbox as text, one per line.
func outboxRecords(t *testing.T, path string) string {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var out strings.Builder
	if err := db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&out, "%s %x %x\n", bucket, k, v)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestGoldenOutboxIsReadAndWrittenByteForByte compares the records of the outbox with the golden file. The
// pages of the file aren't compared, since bbolt decides on their layout.
func TestGoldenOutboxIsReadAndWrittenByteForByte(t *testing.T) {
	r, path := openGoldenOutbox(t, fmt.Sprintf("meta %x %016x\n", "incarnation", uint64(goldenLastIncarnation)))
	usage := goldenBatch().Usage[0]
	r.Count(usage.Key, 0, usage.BytesIn, usage.BytesOut)
	for i, id := range usage.IDs {
		r.Count(usage.Key, id, usage.BytesInByID[i], usage.BytesOutByID[i])
	}
	r.flush()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	stored := goldenfile.CheckBytes(t, "outbox.txt", []byte(outboxRecords(t, path)))

	r, _ = openGoldenOutbox(t, string(stored))
	goldenfile.CheckDecoded(t, "outbox.txt", r.Incarnation(), uint64(goldenLastIncarnation+2))
	if len(r.queue) != 1 {
		t.Fatalf("%d batches are queued, want 1", len(r.queue))
	}
	batch := r.queue[0]
	counts := []int64{int64(batch.key), batch.answers, r.stats.Counted, r.stats.Queued}
	goldenfile.CheckDecoded(t, "outbox.txt", counts, []int64{1, 3, 3, 3})
	got, err := ledger.DecodeBatch(batch.raw)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "outbox.txt", got, goldenBatch())
	goldenfile.CheckDecoded(t, "outbox.txt", batch.raw, goldenBatch().Encode())
}

func TestGoldenStatsAreReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "figures.json", Stats{Counted: 1, Committed: 2, Queued: 3, InMemory: 4, OldestMS: 5,
		Batches: 6, Attempts: 7, Duplicates: 8, Lost: 9, FileErrors: 10, CommitP50MS: 11.5, CommitP99MS: 12.25,
		CommitMaxMS: 13.125})
}

func TestGoldenResultOfTheGroupIsRead(t *testing.T) {
	want := ledger.Result{Status: ledger.StatusCounted, Index: 8, Period: 9}
	// Package ledger encodes the result, so the golden file is in its directory.
	raw, err := os.ReadFile(filepath.Join("..", "ledger", "testdata", "golden", "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeResult(json.RawMessage(raw), nil)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "result.json", got, want)
}
