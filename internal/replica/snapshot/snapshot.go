// Package snapshot stores the newest snapshot of a replica's ledger on disk.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"gypsumreel/internal/replica/disk"
	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/wire"
)

// A snapshot file has this layout:
//
//	magic | version fixed32 | checksum fixed64 | meta length fixed32 | meta | state
//
// The checksum is the XXH64 hash of everything after it.
const (
	magic            = "GRSN"
	formatVersion    = 1
	headerSize       = 16
	snapshotSuffix   = ".snapshot"
	unfinishedSuffix = ".unfinished"
)

// Field numbers of the meta message and its members, in the protobuf wire format.
const (
	fieldIndex  protowire.Number = 1
	fieldTerm   protowire.Number = 2
	fieldMember protowire.Number = 3

	fieldID      protowire.Number = 1
	fieldAddress protowire.Number = 2
	fieldLearner protowire.Number = 3
)

// ErrDiskFull means that the disk has no free space. Earlier snapshots are unchanged.
var ErrDiskFull = disk.ErrDiskFull

// Meta describes a snapshot, which replaces the log up to and including Index.
type Meta struct {
	Index   uint64
	Term    uint64
	Members []quorum.Member
}

// CorruptionError means that the newest snapshot is no longer readable. The log that
// it replaces has been compacted, so the replica must not start.
type CorruptionError struct {
	File   string
	Reason string
}

// Error returns the file, the reason and the steps for the operator.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged: %s; the log that it replaces was removed, so this replica must not continue under its identity: "+
		"move the data folder aside, start with an empty one and add the replica again (docs/operate/storage.md)", e.File, e.Reason)
}

// VersionError means that a snapshot was written by a release with a different format version.
type VersionError struct {
	File        string
	FileVersion uint32
}

// Error returns both versions and the steps for the operator.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this release reads %d: start the release that wrote it (docs/operate/storage.md)",
		e.File, e.FileVersion, formatVersion)
}

// Store holds the snapshots of a replica in a folder. It is not safe for concurrent use.
type Store struct {
	// Dir is the folder of the snapshot files.
	Dir string
	// Disk holds the files. When nil, the file system of the operating system is used.
	Disk disk.Disk
}

// Save writes a durable snapshot and then removes the older ones. If the write fails,
// the older snapshots remain. After any error the caller must not compact the log.
func (s Store) Save(meta Meta, state []byte) error {
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	path := s.path(meta.Index)
	if err := writeSyncedFile(d, path+unfinishedSuffix, encodeSnapshot(meta, state)); err != nil {
		// An error is ignored because the next Save overwrites or removes the file.
		_ = d.Remove(path + unfinishedSuffix)
		return errors.Wrap(err, "save a snapshot")
	}
	if err := d.Rename(path+unfinishedSuffix, path); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	if err := d.SyncFolder(s.Dir); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	return errors.Wrap(s.removeOtherFiles(filepath.Base(path)), "remove old snapshots")
}

// Load returns the newest snapshot, or a Meta with Index 0 if there is none. It
// ignores the files of an interrupted Save. If the newest snapshot is corrupted,
// Load returns a CorruptionError. It does not fall back to an older snapshot, because
// the log entries between the two may have been compacted.
func (s Store) Load() (Meta, []byte, error) {
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	// An interrupted Save may have renamed the file without syncing the folder. The
	// rename must be durable before the caller relies on the snapshot.
	if err := d.SyncFolder(s.Dir); err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	names, err := d.List(s.Dir)
	if err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	newestName := ""
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			newestName = name
		}
	}
	if newestName == "" {
		return Meta{}, nil, nil
	}
	path := filepath.Join(s.Dir, newestName)
	b, err := d.Read(path)
	if err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	meta, state, err := decodeSnapshot(path, b)
	if err == nil && s.path(meta.Index) != path {
		err = &CorruptionError{File: path, Reason: "the index in the file does not match the file name"}
	}
	return meta, state, errors.Wrap(err, "load a snapshot")
}

// removeOtherFiles removes all snapshots and unfinished files except keptName.
func (s Store) removeOtherFiles(keptName string) error {
	d := s.disk()
	names, err := d.List(s.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == keptName || !strings.HasSuffix(name, snapshotSuffix) && !strings.HasSuffix(name, unfinishedSuffix) {
			continue
		}
		if err := d.Remove(filepath.Join(s.Dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func (s Store) disk() disk.Disk {
	if s.Disk == nil {
		return disk.OS{}
	}
	return s.Disk
}

func (s Store) path(index uint64) string {
	return filepath.Join(s.Dir, fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

// writeSyncedFile writes a file and syncs its content. The folder is not synced, so
// a crash may still lose the file.
func writeSyncedFile(d disk.Disk, path string, b []byte) error {
	f, err := d.Create(path)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

func encodeSnapshot(meta Meta, state []byte) []byte {
	metaBytes := protowire.AppendTag(nil, fieldIndex, protowire.VarintType)
	metaBytes = protowire.AppendVarint(metaBytes, meta.Index)
	metaBytes = protowire.AppendTag(metaBytes, fieldTerm, protowire.VarintType)
	metaBytes = protowire.AppendVarint(metaBytes, meta.Term)
	for _, member := range meta.Members {
		metaBytes = protowire.AppendTag(metaBytes, fieldMember, protowire.BytesType)
		metaBytes = protowire.AppendBytes(metaBytes, encodeMember(member))
	}
	b := make([]byte, 0, headerSize+4+len(metaBytes)+len(state))
	b = protowire.AppendFixed32(append(b, magic...), formatVersion)
	b = protowire.AppendFixed64(b, 0)
	b = protowire.AppendFixed32(b, uint32(len(metaBytes)))
	b = append(append(b, metaBytes...), state...)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(b[headerSize:]))
	return b
}

func encodeMember(m quorum.Member) []byte {
	b := protowire.AppendTag(nil, fieldID, protowire.BytesType)
	b = protowire.AppendString(b, m.ID)
	b = protowire.AppendTag(b, fieldAddress, protowire.BytesType)
	b = protowire.AppendString(b, m.Address)
	b = protowire.AppendTag(b, fieldLearner, protowire.VarintType)
	return protowire.AppendVarint(b, protowire.EncodeBool(m.Learner))
}

func decodeSnapshot(path string, b []byte) (Meta, []byte, error) {
	if len(b) < headerSize+4 || string(b[:len(magic)]) != magic {
		return Meta{}, nil, &CorruptionError{File: path, Reason: "not a snapshot file"}
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != formatVersion {
		return Meta{}, nil, &VersionError{File: path, FileVersion: v}
	}
	rest := b[headerSize:]
	if xxhash.Sum64(rest) != binary.LittleEndian.Uint64(b[8:]) {
		return Meta{}, nil, &CorruptionError{File: path, Reason: "checksum mismatch"}
	}
	metaSize := uint64(binary.LittleEndian.Uint32(rest))
	rest = rest[4:]
	if metaSize > uint64(len(rest)) {
		return Meta{}, nil, &CorruptionError{File: path, Reason: wire.ErrMalformed.Error()}
	}
	meta, err := decodeMeta(rest[:metaSize])
	if err != nil {
		return Meta{}, nil, &CorruptionError{File: path, Reason: err.Error()}
	}
	return meta, rest[metaSize:], nil
}

func decodeMeta(b []byte) (Meta, error) {
	var m Meta
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldIndex:
			m.Index = v
		case fieldTerm:
			m.Term = v
		case fieldMember:
			member, err := decodeMember(data)
			m.Members = append(m.Members, member)
			return err
		}
		return nil
	})
	return m, err
}

func decodeMember(b []byte) (quorum.Member, error) {
	var m quorum.Member
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldID:
			m.ID = string(data)
		case fieldAddress:
			m.Address = string(data)
		case fieldLearner:
			m.Learner = protowire.DecodeBool(v)
		}
		return nil
	})
	return m, err
}
