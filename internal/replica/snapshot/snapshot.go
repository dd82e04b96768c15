// Package snapshot keeps the newest snapshot of a replica's ledger on its disk.
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

// A snapshot file is
//
//	magic | version fixed32 | checksum fixed64 | meta length fixed32 | meta | state
//
// where the checksum is the XXH64 of all that follows it.
const (
	magic       = "GRSN"
	version     = 1
	headerBytes = 16
	suffix      = ".snapshot"
	temporary   = ".unfinished"
)

// Fields of the meta message, in protobuf's wire format.
const (
	fieldIndex  protowire.Number = 1
	fieldTerm   protowire.Number = 2
	fieldMember protowire.Number = 3

	fieldID      protowire.Number = 1
	fieldAddress protowire.Number = 2
	fieldLearner protowire.Number = 3
)

// ErrDiskFull means that the disk has no room; what was saved before is untouched.
var ErrDiskFull = disk.ErrDiskFull

// Meta says what a snapshot stands for: the log up to Index.
type Meta struct {
	Index   uint64
	Term    uint64
	Members []quorum.Member
}

// CorruptionError means that the newest snapshot is no longer readable. The journal
// before it is gone, so the replica must not start.
type CorruptionError struct {
	File   string
	Reason string
}

// Error tells the place and the way out.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged: %s; the log before it was dropped, so this replica must not go on under its identity: "+
		"move the data folder aside, start with an empty one and add the replica again (docs/operate/storage.md)", e.File, e.Reason)
}

// VersionError means that a snapshot was written by a release with another format.
type VersionError struct {
	File        string
	FileVersion uint32
}

// Error tells both versions and the way out.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this release reads %d: start the release that wrote it (docs/operate/storage.md)",
		e.File, e.FileVersion, version)
}

// Store is the folder of a replica's snapshots. One goroutine uses it at a time.
type Store struct {
	Dir string
	// Disk is the disk to use; the operating system's when nil.
	Disk disk.Disk
}

// Save makes a snapshot lasting and then removes the older ones. On an error the
// older ones are still there, and the log must not be compacted.
func (s Store) Save(meta Meta, state []byte) error {
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	name := s.path(meta.Index)
	if err := writeFile(d, name+temporary, encode(meta, state)); err != nil {
		// Best effort: what is left is overwritten or removed by the next save.
		_ = d.Remove(name + temporary)
		return errors.Wrap(err, "save a snapshot")
	}
	if err := d.Rename(name+temporary, name); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	if err := d.SyncFolder(s.Dir); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	return errors.Wrap(s.clean(filepath.Base(name)), "remove old snapshots")
}

// Load returns the newest snapshot, with Index 0 when there is none. What an
// interrupted Save left is passed over. A damaged newest one is a DamageError,
// never passed over in favour of an older one: the log between may be gone.
func (s Store) Load() (Meta, []byte, error) {
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	// A Save that was killed before its last step may have renamed the file
	// without making that last; nothing may be built on it until it does.
	if err := d.SyncFolder(s.Dir); err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	names, err := d.List(s.Dir)
	if err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, suffix) {
			newest = name
		}
	}
	if newest == "" {
		return Meta{}, nil, nil
	}
	path := filepath.Join(s.Dir, newest)
	b, err := d.Read(path)
	if err != nil {
		return Meta{}, nil, errors.Wrap(err, "load a snapshot")
	}
	meta, state, err := decode(path, b)
	if err == nil && s.path(meta.Index) != path {
		err = &CorruptionError{File: path, Reason: "it holds another index than its name says"}
	}
	return meta, state, errors.Wrap(err, "load a snapshot")
}

// clean removes all files but the one kept.
func (s Store) clean(keep string) error {
	d := s.disk()
	names, err := d.List(s.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == keep || !strings.HasSuffix(name, suffix) && !strings.HasSuffix(name, temporary) {
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
	return filepath.Join(s.Dir, fmt.Sprintf("%016x%s", index, suffix))
}

// writeFile makes a file with its content lasting; its name is not yet.
func writeFile(d disk.Disk, name string, b []byte) error {
	f, err := d.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

func encode(meta Meta, state []byte) []byte {
	m := protowire.AppendTag(nil, fieldIndex, protowire.VarintType)
	m = protowire.AppendVarint(m, meta.Index)
	m = protowire.AppendTag(m, fieldTerm, protowire.VarintType)
	m = protowire.AppendVarint(m, meta.Term)
	for _, member := range meta.Members {
		m = protowire.AppendTag(m, fieldMember, protowire.BytesType)
		m = protowire.AppendBytes(m, encodeMember(member))
	}
	b := make([]byte, 0, headerBytes+4+len(m)+len(state))
	b = protowire.AppendFixed32(append(b, magic...), version)
	b = protowire.AppendFixed64(b, 0)
	b = protowire.AppendFixed32(b, uint32(len(m)))
	b = append(append(b, m...), state...)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(b[headerBytes:]))
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

func decode(name string, b []byte) (Meta, []byte, error) {
	if len(b) < headerBytes+4 || string(b[:len(magic)]) != magic {
		return Meta{}, nil, &CorruptionError{File: name, Reason: "not a snapshot"}
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != version {
		return Meta{}, nil, &VersionError{File: name, FileVersion: v}
	}
	rest := b[headerBytes:]
	if xxhash.Sum64(rest) != binary.LittleEndian.Uint64(b[8:]) {
		return Meta{}, nil, &CorruptionError{File: name, Reason: "its checksum does not fit"}
	}
	size := uint64(binary.LittleEndian.Uint32(rest))
	rest = rest[4:]
	if size > uint64(len(rest)) {
		return Meta{}, nil, &CorruptionError{File: name, Reason: wire.ErrMalformed.Error()}
	}
	meta, err := decodeMeta(rest[:size])
	if err != nil {
		return Meta{}, nil, &CorruptionError{File: name, Reason: err.Error()}
	}
	return meta, rest[size:], nil
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
