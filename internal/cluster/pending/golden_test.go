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

// goldenLast is the incarnation of an earlier life, far enough ahead that the clock does not say the next.
const goldenLast = 1 << 62

// goldenBatch is what the file of waiting counts holds. One key alone: several come in a map's order.
func goldenBatch() *ledger.Batch {
	return &ledger.Batch{Member: "odori-1", Incarnation: goldenLast + 1, Seq: 1, Usage: []ledger.KeyUsage{{
		Key:   ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"},
		Usage: ledger.Usage{Count: 1, BytesIn: 21, BytesOut: 22}, IDs: []uint64{31, 1<<64 - 1},
		BytesInByID:  []int64{32, 33},
		BytesOutByID: []int64{34, 35}}}}
}

// goldenOpen opens a file that holds the records of text.
func goldenOpen(t *testing.T, text string) (*Recorder, string) {
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

// goldenRecords is what a file holds, a line a record.
func goldenRecords(t *testing.T, path string) string {
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

// The records are held to the file, not the pages: where those lie is bbolt's own.
func TestGoldenFileOfWaitingCountsIsReadAndWrittenByteForByte(t *testing.T) {
	r, path := goldenOpen(t, fmt.Sprintf("meta %x %016x\n", "incarnation", uint64(goldenLast)))
	a := goldenBatch().Usage[0]
	r.Count(a.Key, 0, a.BytesIn, a.BytesOut)
	for i, id := range a.IDs {
		r.Count(a.Key, id, a.BytesInByID[i], a.BytesOutByID[i])
	}
	r.flush()
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	held := goldenfile.CheckBytes(t, "outbox.txt", []byte(goldenRecords(t, path)))

	r, _ = goldenOpen(t, string(held))
	goldenfile.CheckDecoded(t, "outbox.txt", r.Incarnation(), uint64(goldenLast+2))
	if len(r.queue) != 1 {
		t.Fatalf("%d batches wait, not 1", len(r.queue))
	}
	w := r.queue[0]
	counts := []int64{int64(w.key), w.answers, r.stats.Counted, r.stats.Queued}
	goldenfile.CheckDecoded(t, "outbox.txt", counts, []int64{1, 3, 3, 3})
	got, err := ledger.DecodeBatch(w.raw)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.CheckDecoded(t, "outbox.txt", got, goldenBatch())
	goldenfile.CheckDecoded(t, "outbox.txt", w.raw, goldenBatch().Encode())
}

func TestGoldenFiguresAreReadAndWrittenByteForByte(t *testing.T) {
	goldenfile.CheckJSON(t, "figures.json", Stats{Counted: 1, Committed: 2, Queued: 3, InMemory: 4, OldestMS: 5,
		Batches: 6, Attempts: 7, Duplicates: 8, Lost: 9, FileErrors: 10, CommitP50MS: 11.5, CommitP99MS: 12.25,
		CommitMaxMS: 13.125})
}

func TestGoldenAnswerOfTheGroupIsRead(t *testing.T) {
	want := ledger.Result{Status: ledger.StatusCounted, Index: 8, Period: 9}
	// The group's answer is written by package ledger, whose golden file this is.
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
