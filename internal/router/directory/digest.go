package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumRanges is the number of hash ranges that record ids are divided into.
const NumRanges = 32

const uint64Size = 8 // bytes

// Digest holds, for each range, the XOR of the hashes of its records, so that it can be updated incrementally
// and does not depend on the order of changes. Barring hash collisions, replicas with equal digests have the
// same records of processes that have not ended. Ended records are left out, because each replica expires
// them at a different time.
type Digest [NumRanges]uint64

// rangeOf returns the index of the range that an id is hashed into.
func rangeOf(id string) int { return int(xxhash.Sum64String(id) % NumRanges) }

// toggle adds a record to the digest, or removes one that was added before. Ended records are ignored.
func (d *Digest) toggle(r *Record) {
	if r.State == Ended {
		return
	}
	d[rangeOf(r.ID)] ^= r.hash()
}

// hash returns a hash of all fields of a record.
func (r *Record) hash() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	var buffer [uint64Size]byte
	for _, number := range r.integerFields() {
		binary.LittleEndian.PutUint64(buffer[:], uint64(number))
		hash.Write(buffer[:])
	}
	for _, value := range r.stringFields() {
		binary.LittleEndian.PutUint64(buffer[:], uint64(len(value)))
		hash.Write(buffer[:]) // the length marks where one string ends and the next begins
		hash.WriteString(value)
	}
	return hash.Sum64()
}

// Digest returns the digest of this replica.
func (d *Directory) Digest() Digest { return d.digest }

// Diff returns the ranges in which two digests differ.
func (d Digest) Diff(other Digest) []int {
	var differing []int
	for i := range d {
		if d[i] != other[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// InRanges returns the records of the given ranges, ended ones included, sorted by id. A replica that merges
// them has no older record in these ranges than this one. Indices out of bounds are ignored.
func (d *Directory) InRanges(ranges []int) []*Record {
	var wanted [NumRanges]bool
	for _, index := range ranges {
		if index >= 0 && index < NumRanges {
			wanted[index] = true
		}
	}
	return d.filter(func(r *Record) bool { return wanted[rangeOf(r.ID)] })
}
