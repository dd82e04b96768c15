// Package member keeps who a replica is: its name and the nonce of its disk. A
// replica that lost its disk gets another nonce, so it never votes as the one
// that it was.
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

// IdentityFile is the name of the identity in the data folder.
const IdentityFile = "identity"

const (
	version    = 1
	temporary  = ".unfinished"
	nonceBytes = 8
)

// ErrNoIdentity means that a data folder holds no identity: it is new, or its disk is.
var ErrNoIdentity = errors.New("the data folder holds no identity")

// ErrIdentityMismatch means that a data folder belongs to another cell or replica than
// the settings name.
var ErrIdentityMismatch = errors.New("the data folder belongs to another replica")

// ErrIdentityExists means that an identity is to be made where there is one.
var ErrIdentityExists = errors.New("the data folder holds an identity already")

// Identity is who the owner of a data folder is.
type Identity struct {
	Cell string `json:"cell"`
	Name string `json:"name"`
	// Nonce was drawn when the data folder was made.
	Nonce string `json:"nonce"`
}

// ID returns NAME/NONCE, as the control group knows the replica.
func (i Identity) ID() string { return i.Name + "/" + i.Nonce }

// content is the layout of the file.
type content struct {
	Version int `json:"version"`
	Identity
}

// Store is the place of an identity.
type Store struct {
	// Dir is the data folder.
	Dir string
	// Disk is the disk to use; the operating system's when nil.
	Disk disk.Disk
}

// Create gives a new data folder an identity, with a nonce drawn from random, and
// makes it lasting. It refuses a folder that holds one.
func (s Store) Create(cell, name string, random io.Reader) (Identity, error) {
	if err := valid(cell, name); err != nil {
		return Identity{}, err
	}
	d := s.disk()
	if err := d.CreateFolder(s.Dir); err != nil {
		return Identity{}, errors.Wrap(err, "make an identity")
	}
	if _, err := d.Read(s.path()); !errors.Is(err, disk.ErrNotExist) {
		return Identity{}, errors.CombineErrors(errors.Wrap(ErrIdentityExists, s.Dir), err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(random, nonce); err != nil {
		return Identity{}, errors.Wrap(err, "draw a nonce")
	}
	id := Identity{Cell: cell, Name: name, Nonce: hex.EncodeToString(nonce)}
	return id, errors.Wrap(s.write(id), "make an identity")
}

// Load returns the identity of a data folder, ErrNone when it has none, and
// ErrForeign when it is not that of the cell and replica named.
func (s Store) Load(cell, name string) (Identity, error) {
	b, err := s.disk().Read(s.path())
	if errors.Is(err, disk.ErrNotExist) {
		return Identity{}, errors.Wrap(ErrNoIdentity, s.Dir)
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "load the identity")
	}
	// A Make that was killed before its last step may have left the name unsynced.
	if err := s.disk().SyncFolder(s.Dir); err != nil {
		return Identity{}, errors.Wrap(err, "load the identity")
	}
	var c content
	if err := json.Unmarshal(b, &c); err != nil || len(c.Nonce) != 2*nonceBytes {
		return Identity{}, errors.Newf("%s is damaged: move the data folder aside, start with an empty one and add the "+
			"replica again (docs/operate/storage.md)", s.path())
	}
	if c.Version != version {
		return Identity{}, errors.Newf("%s has format version %d, this release reads %d", s.path(), c.Version, version)
	}
	if c.Cell != cell || c.Name != name {
		return Identity{}, errors.Wrapf(ErrIdentityMismatch, "%s is replica %q of cell %q, the settings name %q of %q",
			s.Dir, c.Name, c.Cell, name, cell)
	}
	return c.Identity, nil
}

// write makes the identity lasting in one step.
func (s Store) write(id Identity) error {
	b, err := json.MarshalIndent(content{version, id}, "", "  ")
	if err != nil {
		return err
	}
	d := s.disk()
	f, err := d.Create(s.path() + temporary)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(append(b, '\n'), 0); err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if err := d.Rename(s.path()+temporary, s.path()); err != nil {
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

// valid refuses names that could not be told apart in an ID.
func valid(cell, name string) error {
	if cell == "" || name == "" || strings.Contains(name, "/") {
		return fmt.Errorf("replica %q of cell %q: both need a name, that of the replica without a slash", name, cell)
	}
	return nil
}
