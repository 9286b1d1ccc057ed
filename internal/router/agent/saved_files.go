package agent

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/segmentlog"
)

// checksumBytes is the length, in bytes, of the checksum that precedes the content of a saved file.
const checksumBytes = 8

// errSavedFileCorrupt is the error for a saved file that can't be used. The process then starts without its
// content and learns it from servers and other processes.
var errSavedFileCorrupt = errors.New("saved file is corrupt; starting without its content")

// savedFiles are small files in one directory. Each is replaced atomically and begins with a checksum of its
// content.
type savedFiles struct {
	files segmentlog.FS
	dir   string
}

func (s savedFiles) path(name string) string { return s.dir + "/" + name }

func (s savedFiles) readRecords(name string) ([]directory.Record, error) {
	body, err := s.read(name)
	if err != nil {
		return nil, err
	}
	var records peerproto.Records
	if err := peerproto.Decode(body, &records); err != nil {
		return nil, fmt.Errorf("%w: %w", errSavedFileCorrupt, err)
	}
	return records.Records, nil
}

func (s savedFiles) writeRecords(name string, records []directory.Record) error {
	return s.write(name, peerproto.Encode(&peerproto.Records{Records: records}))
}

// read returns the content of a file. The error is fs.ErrNotExist if there is no such file, and
// errSavedFileCorrupt if the checksum is wrong.
func (s savedFiles) read(name string) ([]byte, error) {
	raw, err := s.files.ReadFile(s.path(name))
	if err != nil {
		return nil, err
	}
	if len(raw) < checksumBytes || binary.LittleEndian.Uint64(raw) != xxhash.Sum64(raw[checksumBytes:]) {
		return nil, errSavedFileCorrupt
	}
	return raw[checksumBytes:], nil
}

// write replaces a file atomically: the new content is durable before it is renamed to the name of the file.
func (s savedFiles) write(name string, body []byte) error {
	raw := binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(body))
	raw = append(raw, body...)
	temporary := s.path(name + ".new")
	if err := s.writeSynced(temporary, raw); err != nil {
		return err
	}
	if err := s.files.Rename(temporary, s.path(name)); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

func (s savedFiles) writeSynced(path string, raw []byte) error {
	file, err := s.files.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the content is durable after Sync
	if _, err := file.WriteAt(raw, 0); err != nil {
		return err
	}
	return file.Sync()
}
