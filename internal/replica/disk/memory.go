package disk

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Operation is an operation that changes a disk or makes a change last.
type Operation uint8

// The operations.
const (
	Create Operation = iota + 1
	Write
	Truncate
	Sync
	Rename
	Remove
	SyncFolder
)

var operationNames = [...]string{"none", "create", "write", "truncate", "sync", "rename", "remove", "sync folder"}

// String returns the name of the operation.
func (o Operation) String() string { return operationNames[o] }

// Fault is what goes wrong at an operation of a Memory disk.
type Fault uint8

// The faults.
const (
	// NoFault means no fault.
	NoFault Fault = iota
	// CrashBefore ends everything before the operation.
	CrashBefore
	// CrashDuring ends everything in the middle of the operation.
	CrashDuring
	// DiskFull refuses the operation for lack of room; half of a write is done.
	DiskFull
	// TooManyFiles refuses the operation, which opens a file, since none can be opened.
	TooManyFiles
	// IOError fails the operation. A sync that fails loses the data: later syncs
	// of the file succeed without it, as on common systems.
	IOError
)

// CrashOutcome is what a crash does to changes that were not synced.
type CrashOutcome uint8

// The outcomes of a crash.
const (
	// ProcessKilled ends the process only: everything is still seen, and still not synced.
	ProcessKilled CrashOutcome = iota
	// AllLost loses everything that was not synced.
	AllLost
	// AllKept keeps everything, as if synced.
	AllKept
	// NamesLost keeps contents but no creation, renaming or removal.
	NamesLost
	// ContentsLost keeps names but no contents.
	ContentsLost
	// FirstHalfKept keeps the first half of contents and of name changes.
	FirstHalfKept
	// SecondHalfKept keeps, of contents and of name changes, only the second half; contents
	// have zeros before it.
	SecondHalfKept
)

// CrashOutcomes are all outcomes of a crash.
var CrashOutcomes = []CrashOutcome{ProcessKilled, AllLost, AllKept, NamesLost, ContentsLost, FirstHalfKept, SecondHalfKept}

// ErrCrashed is what every operation returns after a crash, until Restart.
var ErrCrashed = errors.New("the disk has crashed")

// errIO is what a broken operation returns.
var errIO = errors.New("input/output error")

// Memory is a disk in memory that goes wrong on request, to test what rests on
// a Disk. Folders need not be made.
type Memory struct {
	// InjectFault is asked before the operation with this count, from 1; it is not
	// asked when nil.
	InjectFault func(n int, op Operation, name string) Fault
	// FreeBytes is what Free returns.
	FreeBytes uint64

	mu              sync.Mutex
	operations      int
	crashed         bool
	files           map[string]*inode
	syncedFiles     map[string]*inode
	unsyncedChanges []nameChange
}

// inode is the content of a file.
type inode struct {
	data   []byte
	synced []byte
	// syncFailed is set by a failed sync.
	syncFailed bool
}

// nameChange is a change of a name that is not synced: to nil for a removal, and
// with the name that a renaming takes away.
type nameChange struct {
	name    string
	target  *inode
	oldName string
}

// OperationCount returns how many operations were begun.
func (m *Memory) OperationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// Clone returns a disk in the same state, without Inject and without open files.
func (m *Memory) Clone() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	clones := map[*inode]*inode{nil: nil}
	cloneInode := func(n *inode) *inode {
		if _, ok := clones[n]; !ok {
			clones[n] = &inode{data: slices.Clone(n.data), synced: slices.Clone(n.synced), syncFailed: n.syncFailed}
		}
		return clones[n]
	}
	c := &Memory{FreeBytes: m.FreeBytes, operations: m.operations, crashed: m.crashed, files: map[string]*inode{}, syncedFiles: map[string]*inode{}}
	for name, n := range m.files {
		c.files[name] = cloneInode(n)
	}
	for name, n := range m.syncedFiles {
		c.syncedFiles[name] = cloneInode(n)
	}
	for _, p := range m.unsyncedChanges {
		c.unsyncedChanges = append(c.unsyncedChanges, nameChange{name: p.name, target: cloneInode(p.target), oldName: p.oldName})
	}
	return c
}

// Restart ends a crash, or makes one, with the outcome given. Files that were
// open before must not be used any more.
func (m *Memory) Restart(o CrashOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	if o == ProcessKilled {
		return
	}
	surviving := m.unsyncedChanges
	switch o {
	case AllLost, NamesLost:
		surviving = nil
	case FirstHalfKept:
		surviving = surviving[:(len(surviving)+1)/2]
	case SecondHalfKept:
		surviving = surviving[len(surviving)/2:]
	}
	for _, c := range surviving {
		applyChange(m.syncedFiles, c)
	}
	m.unsyncedChanges = nil
	m.files = map[string]*inode{}
	for name, n := range m.syncedFiles {
		n.data = n.contentAfterCrash(o)
		n.synced = slices.Clone(n.data)
		n.syncFailed = false
		m.files[name] = n
	}
}

// contentAfterCrash returns the content that a crash leaves.
func (n *inode) contentAfterCrash(o CrashOutcome) []byte {
	commonPrefix := 0
	for commonPrefix < min(len(n.data), len(n.synced)) && n.data[commonPrefix] == n.synced[commonPrefix] {
		commonPrefix++
	}
	middle := commonPrefix + (len(n.data)-commonPrefix)/2
	switch o {
	case AllLost, ContentsLost:
		return n.synced
	case FirstHalfKept:
		return slices.Clone(n.data[:middle])
	case SecondHalfKept:
		b := slices.Clone(n.data)
		clear(b[commonPrefix:middle])
		return b
	}
	return n.data
}

// beginOperation counts an operation and asks for its fault.
func (m *Memory) beginOperation(op Operation, name string) (Fault, error) {
	if m.files == nil {
		m.files, m.syncedFiles = map[string]*inode{}, map[string]*inode{}
	}
	if m.crashed {
		return CrashBefore, ErrCrashed
	}
	m.operations++
	fault := NoFault
	if m.InjectFault != nil {
		fault = m.InjectFault(m.operations, op, name)
	}
	switch fault {
	case CrashBefore:
		m.crashed = true
		return fault, ErrCrashed
	case CrashDuring:
		m.crashed = true
		return fault, nil
	case DiskFull:
		return fault, errors.Mark(errors.New("no space left on device"), ErrDiskFull)
	case TooManyFiles:
		return fault, errors.Mark(errors.New("too many open files"), ErrTooManyFiles)
	case IOError:
		return fault, errIO
	}
	return fault, nil
}

// operationError returns the error of an operation that was done in spite of its fault.
func operationError(f Fault) error {
	if f == CrashDuring {
		return ErrCrashed
	}
	return nil
}

// changeName changes a name, until a sync of its folder only in what is seen.
func (m *Memory) changeName(c nameChange) {
	applyChange(m.files, c)
	m.unsyncedChanges = append(m.unsyncedChanges, c)
}

func applyChange(names map[string]*inode, c nameChange) {
	delete(names, c.oldName)
	if c.target == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.target
}

// Create makes an empty file, or empties the one that exists.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.beginOperation(Create, name)
	if err != nil {
		return nil, err
	}
	n := m.files[name]
	if n == nil {
		n = &inode{}
		m.changeName(nameChange{name: name, target: n})
	}
	n.data = nil
	return &memoryFile{m, n, name}, operationError(f)
}

// Open opens an existing file for writing.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.files[name]
	if m.crashed {
		return nil, ErrCrashed
	}
	if n == nil {
		return nil, ErrNotExist
	}
	return &memoryFile{m, n, name}, nil
}

// Read returns the whole content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.files[name]
	if m.crashed {
		return nil, ErrCrashed
	}
	if n == nil {
		return nil, ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// List returns the names of the files in a folder, sorted.
func (m *Memory) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename puts a file under a new name in one step.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.beginOperation(Rename, from)
	if err != nil {
		return err
	}
	n := m.files[from]
	if n == nil {
		return ErrNotExist
	}
	m.changeName(nameChange{name: to, target: n, oldName: from})
	return operationError(f)
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.beginOperation(Remove, name)
	if err != nil {
		return err
	}
	if m.files[name] == nil {
		return ErrNotExist
	}
	m.changeName(nameChange{name: name})
	return operationError(f)
}

// CreateFolder does nothing: folders need not be made.
func (m *Memory) CreateFolder(string) error { return nil }

// SyncFolder makes the changes of names in a folder last.
func (m *Memory) SyncFolder(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.beginOperation(SyncFolder, dir)
	if err != nil {
		return err
	}
	var remaining []nameChange
	for _, c := range m.unsyncedChanges {
		if strings.HasPrefix(c.name, dir+string(filepath.Separator)) {
			applyChange(m.syncedFiles, c)
			continue
		}
		remaining = append(remaining, c)
	}
	m.unsyncedChanges = remaining
	return operationError(f)
}

// Free returns Room.
func (m *Memory) Free(string) (uint64, error) { return m.FreeBytes, nil }
