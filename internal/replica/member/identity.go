// Package member stores the identity of a replica in its data folder and locks the
// folder. An identity consists of the name of the replica and a random nonce. A
// replica that lost its disk gets a new nonce, so it never votes under its old identity.
package member

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/replica/disk"
)

// IdentityFile is the name of the identity file in the data folder.
const IdentityFile = "identity"

const (
	formatVersion    = 1
	unfinishedSuffix = ".unfinished"
	nonceSize        = 8
)

// ErrNoIdentity means that a data folder holds no identity. Either the replica is
// new, or its disk was replaced or is not mounted.
var ErrNoIdentity = errors.New("the data folder holds no identity")

// ErrIdentityMismatch means that a data folder belongs to a different cell or replica
// than the settings specify.
var ErrIdentityMismatch = errors.New("the data folder belongs to another replica")

// ErrIdentityExists means that Create was called on a data folder that already holds
// an identity.
var ErrIdentityExists = errors.New("the data folder already holds an identity")

// Identity identifies the replica that owns a data folder.
type Identity struct {
	Cell string `json:"cell"`
	Name string `json:"name"`
	// Nonce is a random hexadecimal number, generated when the identity was created.
	Nonce string `json:"nonce"`
}

// ID returns NAME/NONCE, the replica ID in the consensus group.
func (i Identity) ID() string { return i.Name + "/" + i.Nonce }

// identityContent is the JSON content of the identity file.
type identityContent struct {
	Version int `json:"version"`
	Identity
}

// Store reads and writes the identity in a data folder.
type Store struct {
	// Dir is the data folder.
	Dir string
	// Disk holds the files. When nil, the file system of the operating system is used.
	Disk disk.Disk
}

// Create writes a durable identity to a new data folder, with a nonce read from
// random. It returns ErrIdentityExists if the folder already holds an identity.
func (s Store) Create(cell, name string, random io.Reader) (Identity, error) {
	if err := validateNames(cell, name); err != nil {
		return Identity{}, err
	}
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return Identity{}, errors.Wrap(err, "create the identity")
	}
	if _, err := d.Read(s.path()); !errors.Is(err, disk.ErrNotExist) {
		return Identity{}, errors.CombineErrors(errors.Wrap(ErrIdentityExists, s.Dir), err)
	}
	nonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(random, nonce); err != nil {
		return Identity{}, errors.Wrap(err, "generate a nonce")
	}
	id := Identity{Cell: cell, Name: name, Nonce: hex.EncodeToString(nonce)}
	return id, errors.Wrap(s.writeIdentity(id), "create the identity")
}

// Load returns the identity of a data folder. The error is ErrNoIdentity if there is
// none, and ErrIdentityMismatch if it belongs to a different cell or replica name.
func (s Store) Load(cell, name string) (Identity, error) {
	b, err := s.disk().Read(s.path())
	if errors.Is(err, disk.ErrNotExist) {
		return Identity{}, errors.Wrap(ErrNoIdentity, s.Dir)
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "load the identity")
	}
	// An interrupted Create may have renamed the file without syncing the folder.
	if err := s.disk().SyncFolder(s.Dir); err != nil {
		return Identity{}, errors.Wrap(err, "load the identity")
	}
	var c identityContent
	if err := json.Unmarshal(b, &c); err != nil || len(c.Nonce) != 2*nonceSize {
		return Identity{}, errors.Newf("%s is damaged: move the data folder aside, start with an empty one and add the "+
			"replica again (docs/operate/storage.md)", s.path())
	}
	if c.Version != formatVersion {
		return Identity{}, errors.Newf("%s has format version %d, this release reads %d", s.path(), c.Version, formatVersion)
	}
	if c.Cell != cell || c.Name != name {
		return Identity{}, errors.Wrapf(ErrIdentityMismatch, "%s is replica %q of cell %q, the settings name %q of %q",
			s.Dir, c.Name, c.Cell, name, cell)
	}
	return c.Identity, nil
}

// writeIdentity writes the identity file atomically and makes it durable.
func (s Store) writeIdentity(id Identity) error {
	b, err := json.MarshalIndent(identityContent{formatVersion, id}, "", "  ")
	if err != nil {
		return err
	}
	d := s.disk()
	f, err := d.Create(s.path() + unfinishedSuffix)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(append(b, '\n'), 0); err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if err := d.Rename(s.path()+unfinishedSuffix, s.path()); err != nil {
		return err
	}
	return d.SyncFolder(s.Dir)
}

func (s Store) disk() disk.Disk {
	if s.Disk == nil {
		return disk.OS{}
	}
	return s.Disk
}

func (s Store) path() string { return filepath.Join(s.Dir, IdentityFile) }

// validateNames rejects empty names and a replica name with a slash, which separates
// the name from the nonce in an ID.
func validateNames(cell, name string) error {
	if cell == "" || name == "" || strings.Contains(name, "/") {
		return fmt.Errorf("replica %q of cell %q: both names must be set, and the replica name must not contain a slash", name, cell)
	}
	return nil
}
