package faultfs

import "math/rand"

// inode is a file's content, as it is and as it is on the medium, with the writes between the two.
type inode struct {
	data     []byte
	durable  []byte
	unsynced []write
}

// write is a change of a content that was not synced: data at an offset, or if data is nil a new size, which
// is the offset.
type write struct {
	offset int64
	data   []byte
}

// write writes data at an offset, and records that until the next sync.
func (i *inode) write(data []byte, offset int64) {
	i.data = writeAt(i.data, data, offset)
	i.unsynced = append(i.unsynced, write{offset, append([]byte{}, data...)})
}

// truncate sets the content's size, and records that until the next sync.
func (i *inode) truncate(size int64) {
	i.data = resize(i.data, size)
	i.unsynced = append(i.unsynced, write{offset: size})
}

// lose reverts the content to the durable one and applies those sectors of its writes that the loss keeps.
func (i *inode) lose(loss Loss, random *rand.Rand) {
	content := append([]byte(nil), i.durable...)
	if loss == LoseSome {
		for _, w := range i.unsynced {
			if w.data == nil {
				if random.Intn(2) == 0 {
					content = resize(content, w.offset)
				}
				continue
			}
			content = w.applySome(content, random)
		}
	}
	i.data, i.durable, i.unsynced = content, append([]byte(nil), content...), nil
}

// applySome writes the sectors that are drawn; often all of them, or none.
func (w write) applySome(data []byte, random *rand.Rand) []byte {
	chance := []int{0, 50, 90, 100}[random.Intn(4)]
	for start := 0; start < len(w.data); {
		end := min(start+sectorSize-int(w.offset+int64(start))%sectorSize, len(w.data))
		if random.Intn(100) < chance {
			data = writeAt(data, w.data[start:end], w.offset+int64(start))
		}
		start = end
	}
	return data
}

// resize returns data truncated, or extended by zeros, to a size.
func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// writeAt writes bytes at an offset of data, and returns the result.
func writeAt(data, bytes []byte, offset int64) []byte {
	if end := offset + int64(len(bytes)); end > int64(len(data)) {
		data = resize(data, end)
	}
	copy(data[offset:], bytes)
	return data
}
