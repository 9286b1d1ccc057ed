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

// checksumBytes is the length of the checksum in front of a saved file's content, in bytes.
const checksumBytes = 8

// errSavedCorrupt is the error for a saved file that can't be used; its content is learned anew.
var errSavedCorrupt = errors.New("the saved state is corrupt; it is learned anew")

// savedFiles are small files in one folder, each replaced atomically. A checksum precedes the content.
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
		return nil, fmt.Errorf("%w: %w", errSavedCorrupt, err)
	}
	return records.Records, nil
}

func (s savedFiles) writeRecords(name string, records []directory.Record) error {
	return s.write(name, peerproto.Encode(&peerproto.Records{Records: records}))
}

// read returns the content of a file. The error is fs.ErrNotExist where there is none, and errSavedCorrupt
// where the checksum is wrong.
func (s savedFiles) read(name string) ([]byte, error) {
	raw, err := s.files.ReadFile(s.path(name))
	if err != nil {
		return nil, err
	}
	if len(raw) < checksumBytes || binary.LittleEndian.Uint64(raw) != xxhash.Sum64(raw[checksumBytes:]) {
		return nil, errSavedCorrupt
	}
	return raw[checksumBytes:], nil
}

// write replaces a file atomically: the new one is durable before it takes the name.
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
