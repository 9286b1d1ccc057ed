package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumRanges is the number of ranges that ids are hashed into.
const NumRanges = 32

const uint64Size = 8 // bytes

// Digest holds the XOR of the hashes of the records of each range, so that it is updated with each change and
// does not depend on the order of changes. Replicas with equal digests have, but for hash collisions, the
// same records of processes that have not ended. Ended ones are left out, because each replica expires them
// at a time of its own.
type Digest [NumRanges]uint64

// rangeOf returns the range of an id.
func rangeOf(id string) int { return int(xxhash.Sum64String(id) % NumRanges) }

// toggle adds a record to the digest, or removes one that was added before. The hash is over all fields.
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
	for _, number := range r.numbers() {
		binary.LittleEndian.PutUint64(buffer[:], uint64(number))
		hash.Write(buffer[:])
	}
	for _, text := range r.texts() {
		binary.LittleEndian.PutUint64(buffer[:], uint64(len(text)))
		hash.Write(buffer[:]) // the lengths tell where one text ends and the next begins
		hash.WriteString(text)
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

// InRanges returns the records of some ranges, ended ones included, sorted by id: another replica that merges
// them has no older record in these ranges. Ranges out of bounds are ignored.
func (d *Directory) InRanges(ranges []int) []*Record {
	var wanted [NumRanges]bool
	for _, index := range ranges {
		if index >= 0 && index < NumRanges {
			wanted[index] = true
		}
	}
	return d.filter(func(r *Record) bool { return wanted[rangeOf(r.ID)] })
}
