// Package directory is the eventually consistent table of the servers, the proxies and the orders to
// servers. Each proxy has a replica of it, and no replica is the authority: a change reaches the others by
// the feeds of hubs and by anti-entropy, in any order and possibly more than once.
//
// Replicas agree because Merge is commutative and idempotent. The process that a record describes numbers its
// own changes (Record.Sequence); of two records of one id the greater sequence wins, and of one sequence the
// greater State, so that a time-out (Lost) stands until the process refutes it and an end (Ended) is final.
// This is the precedence that SWIM (Das et al., DSN 2002) gives alive, suspect and dead members, with a
// sequence of the process in the place of SWIM's incarnation number.
//
//   - record.go: Record, and which of two records wins.
//   - directory.go: Merge, which gives every change the next offset of this replica's feed.
//   - queries.go: Since returns what changed after an offset, and with offset 0 a snapshot, as Consul's state
//     store does with its indexes. Servers is the table that servers are chosen from.
//   - digest.go: Digest sums up the records by ranges of ids. Two replicas whose digests differ exchange the
//     records of those ranges alone, as Dynamo and Cassandra do with hash trees.
//   - expiry.go: ended records are retained for EndedTTL and lost ones for LostTTL. A tombstone then keeps
//     another replica, whose record expires a little later, from bringing it back.
//
// The package is pure: it has no clock, goroutine or I/O, and times are durations since a start that the
// caller chooses. A Directory holds its state in memory and is not safe for concurrent use; package agent
// holds its lock around each call. Records are immutable and may be read without it.
package directory
