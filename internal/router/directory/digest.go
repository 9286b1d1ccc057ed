package directory

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Ranges is how many ranges of ids a digest tells apart.
const Ranges = 32

// Digest holds for each range of ids a sum over its records. Copies with equal digests hold the same records
// of processes that have not ended, up to chance. Ended ones are left out, because each copy forgets them at
// a time of its own.
type Digest [Ranges]uint64

// RangeOf returns the range that an id falls into.
func RangeOf(id string) int { return int(xxhash.Sum64String(id) % Ranges) }

// toggle adds a record to the digest, or takes it out where it is in.
func (d *Digest) toggle(r *Record) {
	if r.State == Ended {
		return
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(r.Sequence))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(r.State))
	hash := xxhash.New()
	hash.WriteString(r.ID)
	hash.Write(numbers[:])
	d[RangeOf(r.ID)] ^= hash.Sum64()
}

// Digest returns the digest of this copy.
func (d *Directory) Digest() Digest { return d.digest }

// Differing returns the ranges in which two digests differ.
func (d Digest) Differing(other Digest) []int {
	var ranges []int
	for i := range d {
		if d[i] != other[i] {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// InRanges returns the records of some ranges, ended ones included, so that the other copy can repair itself.
func (d *Directory) InRanges(ranges []int) []*Record {
	var wanted [Ranges]bool
	for _, i := range ranges {
		if i >= 0 && i < Ranges {
			wanted[i] = true
		}
	}
	return d.selected(func(r *Record) bool { return wanted[RangeOf(r.ID)] })
}
