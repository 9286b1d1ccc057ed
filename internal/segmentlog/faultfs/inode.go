package faultfs

import (
	"bytes"
	"math/rand"
)

// inode is a file's current content, its durable content, and the unsynced writes between the two.
type inode struct {
	data     []byte  // current content
	durable  []byte  // content after a power loss with LoseAll
	unsynced []write // since the last sync, in order
}

// write is an unsynced change of a file's content: data at an offset, or a new size.
type write struct {
	offset  int64 // or the new size in bytes
	data    []byte
	resizes bool
}

// write writes data at an offset, and records the write until the next sync.
func (i *inode) write(data []byte, offset int64) {
	i.data = writeAt(i.data, data, offset)
	i.unsynced = append(i.unsynced, write{offset: offset, data: bytes.Clone(data)})
}

// truncate sets the content's size, and records the change until the next sync.
func (i *inode) truncate(size int64) {
	i.data = resize(i.data, size)
	i.unsynced = append(i.unsynced, write{offset: size, resizes: true})
}

// lose reverts the content to the durable one and applies those sectors of its writes that the loss keeps.
func (i *inode) lose(loss Loss, random *rand.Rand) {
	content := bytes.Clone(i.durable)
	if loss == LoseSome {
		for _, w := range i.unsynced {
			if w.resizes {
				if random.Intn(2) == 0 {
					content = resize(content, w.offset)
				}
				continue
			}
			content = w.applySome(content, random)
		}
	}
	i.data, i.durable, i.unsynced = content, bytes.Clone(content), nil
}

// keptPercents are the percentages of a write's sectors that survive a power loss, on average; one is drawn
// for each write.
var keptPercents = []int{0, 50, 90, 100}

// applySome applies randomly selected sectors of the write to a content.
func (w write) applySome(content []byte, random *rand.Rand) []byte {
	keptPercent := keptPercents[random.Intn(len(keptPercents))]
	for start := 0; start < len(w.data); {
		offset := w.offset + int64(start)
		sectorEnd := start + sectorSize - int(offset%sectorSize)
		end := min(sectorEnd, len(w.data))
		if random.Intn(100) < keptPercent {
			content = writeAt(content, w.data[start:end], offset)
		}
		start = end
	}
	return content
}

// resize returns a content truncated, or extended by zeros, to a size in bytes.
func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// writeAt writes data at an offset of a content, and returns the result. It may change the content in place.
func writeAt(content, data []byte, offset int64) []byte {
	if end := offset + int64(len(data)); end > int64(len(content)) {
		content = resize(content, end)
	}
	copy(content[offset:], data)
	return content
}
