package member

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// LockFile is the name of the lock file in the data folder.
const LockFile = "lock"

// ErrLocked means that another process uses the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// Lock is an exclusive lock on a data folder. The operating system releases it when
// the process ends for any reason, so no stale lock remains.
type Lock struct{ file *os.File }

// AcquireLock locks a data folder and creates the folder if it does not exist. It
// returns ErrLocked if another process holds the lock.
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

// KeepUntilExit keeps the folder locked until the process ends, whatever Release does: it copies the
// descriptor, and the lock lasts as long as one of the two.
func (l *Lock) KeepUntilExit() error {
	_, err := unix.FcntlInt(l.file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	return errors.Wrap(err, "keep the lock of the data folder")
}

// Release releases the lock on the data folder.
func (l *Lock) Release() error { return l.file.Close() }
