package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumRanges is how many ranges of ids a digest tells apart.
const NumRanges = 32

// Digest holds for each range of ids a sum over its records. Copies with equal digests hold the same records
// of processes that have not ended, up to chance. Ended ones are left out, because each copy forgets them at
// a time of its own.
type Digest [NumRanges]uint64

// RangeOf returns the range that an id falls into.
func RangeOf(id string) int { return int(xxhash.Sum64String(id) % NumRanges) }

// toggle adds a record to the digest, or takes it out where it is in.
func (d *Digest) toggle(r *Record) {
	if r.State == Ended {
		return
	}
	var fields [16]byte
	binary.LittleEndian.PutUint64(fields[:], uint64(r.Sequence))
	binary.LittleEndian.PutUint64(fields[8:], uint64(r.State))
	hash := xxhash.New()
	hash.WriteString(r.ID)
	hash.Write(fields[:])
	d[RangeOf(r.ID)] ^= hash.Sum64()
}

// Digest returns the digest of this copy.
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

// InRanges returns the records of some ranges, ended ones included, so that the other copy can repair itself.
func (d *Directory) InRanges(ranges []int) []*Record {
	var wanted [NumRanges]bool
	for _, i := range ranges {
		if i >= 0 && i < NumRanges {
			wanted[i] = true
		}
	}
	return d.filter(func(r *Record) bool { return wanted[RangeOf(r.ID)] })
}
