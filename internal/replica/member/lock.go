package member

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// LockFile is the name of the lock in the data folder.
const LockFile = "lock"

// ErrLocked means that another process has the data folder in use.
var ErrLocked = errors.New("the data folder is in use by another process")

// Lock is the sole right to use a data folder. The system takes it away from a
// process that ends in whatever way, so nothing is left to clean up.
type Lock struct{ f *os.File }

// AcquireLock locks a data folder, making it when it is not there.
func AcquireLock(dir string) (*Lock, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "lock the data folder")
	}
	f, err := os.OpenFile(filepath.Join(dir, LockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "lock the data folder")
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = errors.Wrap(ErrLocked, dir)
	}
	if err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return &Lock{f}, nil
}

// Release gives the folder free.
func (l *Lock) Release() error { return l.f.Close() }
