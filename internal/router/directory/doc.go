// Package directory implements the eventually consistent table of servers, proxies and the orders that tell
// servers to change their role. Each proxy has a replica of the table, and none is authoritative: changes
// spread through the feeds of hubs and through anti-entropy, in any order and possibly more than once.
//
// Replicas converge because Merge is commutative and idempotent. The process that a record describes numbers
// its own changes (Record.Sequence). Of two records with the same id, the one with the greater sequence wins;
// with equal sequences, the one with the greater State wins, so that a timeout (Lost) stands until the
// process refutes it and an end (Ended) is final. This is the precedence that SWIM (Das et al., DSN 2002)
// gives alive, suspect and dead members, with the sequence number taking the place of SWIM's incarnation
// number.
//
//   - record.go: Record, and which of two records wins.
//   - directory.go: Merge, which assigns each change the next offset of this replica's feed.
//   - queries.go: Since returns the records that changed after an offset, or a snapshot for offset 0, as
//     Consul's state store does with its indexes. Servers is the table that servers are selected from.
//   - digest.go: Digest summarizes the records by hash ranges of their ids. Two replicas whose digests differ
//     exchange only the records of the differing ranges, as Dynamo and Cassandra do with hash trees.
//   - expiry.go: ended records are retained for EndedTTL and lost ones for LostTTL. After that, a tombstone
//     prevents another replica, in which the record expires a little later, from bringing it back.
//
// The package is deterministic: it has no clock, goroutines or I/O, and times are durations since a start
// that the caller chooses. A Directory holds its state in memory and is not safe for concurrent use; package
// agent holds a lock around each call. Records are immutable and may be read without that lock.
package directory
