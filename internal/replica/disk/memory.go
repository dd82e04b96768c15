package disk

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Operation is an operation that changes a disk or syncs a change.
type Operation uint8

// The operations of a Memory disk that are counted and can fail.
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

// String implements fmt.Stringer.
func (o Operation) String() string { return operationNames[o] }

// Fault is a fault that is injected into an operation of a Memory disk.
type Fault uint8

// The faults that can be injected.
const (
	// NoFault lets the operation succeed.
	NoFault Fault = iota
	// CrashBefore crashes the disk before the operation takes effect.
	CrashBefore
	// CrashDuring crashes the disk during the operation. Half of a write is done, and
	// any other operation is done completely.
	CrashDuring
	// DiskFull fails the operation with ErrDiskFull. Half of a write is done.
	DiskFull
	// TooManyFiles fails an operation that opens a file with ErrTooManyFiles.
	TooManyFiles
	// IOError fails the operation with an I/O error. If a sync fails, the unsynced
	// data is lost, and later syncs of the file succeed without it, as on common
	// operating systems.
	IOError
)

// CrashOutcome selects which unsynced changes survive a crash.
type CrashOutcome uint8

// The outcomes of a crash.
const (
	// ProcessKilled ends only the process. All changes stay visible and stay unsynced.
	ProcessKilled CrashOutcome = iota
	// AllLost loses all unsynced changes.
	AllLost
	// AllKept keeps all changes as if they had been synced.
	AllKept
	// NamesLost keeps unsynced file contents but loses unsynced creations, renames and removals.
	NamesLost
	// ContentsLost keeps unsynced creations, renames and removals but loses unsynced
	// file contents.
	ContentsLost
	// FirstHalfKept keeps the first half of the unsynced bytes of each file and the
	// first half of the unsynced name changes.
	FirstHalfKept
	// SecondHalfKept keeps the second half of the unsynced bytes of each file, with
	// zeros in place of the first half, and the second half of the unsynced name changes.
	SecondHalfKept
)

// CrashOutcomes lists all outcomes of a crash.
var CrashOutcomes = []CrashOutcome{ProcessKilled, AllLost, AllKept, NamesLost, ContentsLost, FirstHalfKept, SecondHalfKept}

// ErrCrashed is returned by every operation from a crash until Restart.
var ErrCrashed = errors.New("the disk has crashed")

// errIO is the error of an operation with the fault IOError.
var errIO = errors.New("input/output error")

// Memory is an in-memory Disk with fault injection for tests. Folders need not be
// created before use.
type Memory struct {
	// InjectFault, if set, is called before each operation and returns the fault to
	// inject. n is the number of the operation, counted from 1.
	InjectFault func(n int, op Operation, name string) Fault
	// FreeBytes is the free space that Free returns.
	FreeBytes uint64

	mu sync.Mutex
	// operations counts the operations that were started.
	operations int
	crashed    bool
	// files maps the visible file names to their contents.
	files map[string]*inode
	// syncedFiles maps the file names as of the last folder sync to their contents.
	syncedFiles map[string]*inode
	// unsyncedChanges are the name changes since the last sync of their folder, oldest first.
	unsyncedChanges []nameChange
}

// inode is the content of a file.
type inode struct {
	// data is the visible content.
	data []byte
	// synced is the content as of the last successful sync.
	synced []byte
	// syncFailed reports that a sync failed, so that later syncs have no effect.
	syncFailed bool
}

// nameChange is the creation, rename or removal of a file.
type nameChange struct {
	name string
	// target is the file with the name after the change, nil for a removal.
	target *inode
	// oldName is the name that a rename removes, empty for other changes.
	oldName string
}

// OperationCount returns the number of operations that were started.
func (m *Memory) OperationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operations
}

// Clone returns a copy of the disk without InjectFault and without open files.
func (m *Memory) Clone() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	clones := map[*inode]*inode{nil: nil}
	cloneInode := func(file *inode) *inode {
		if _, ok := clones[file]; !ok {
			clones[file] = &inode{data: slices.Clone(file.data), synced: slices.Clone(file.synced), syncFailed: file.syncFailed}
		}
		return clones[file]
	}
	clone := &Memory{FreeBytes: m.FreeBytes, operations: m.operations, crashed: m.crashed, files: map[string]*inode{}, syncedFiles: map[string]*inode{}}
	for name, file := range m.files {
		clone.files[name] = cloneInode(file)
	}
	for name, file := range m.syncedFiles {
		clone.syncedFiles[name] = cloneInode(file)
	}
	for _, change := range m.unsyncedChanges {
		clone.unsyncedChanges = append(clone.unsyncedChanges, nameChange{name: change.name, target: cloneInode(change.target), oldName: change.oldName})
	}
	return clone
}

// Restart makes the disk usable again after a crash and applies the outcome. On a disk
// that has not crashed it simulates a crash. Files opened before must not be used
// afterwards.
func (m *Memory) Restart(outcome CrashOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	if outcome == ProcessKilled {
		return
	}
	surviving := m.unsyncedChanges
	switch outcome {
	case AllLost, NamesLost:
		surviving = nil
	case FirstHalfKept:
		surviving = surviving[:(len(surviving)+1)/2]
	case SecondHalfKept:
		surviving = surviving[len(surviving)/2:]
	}
	for _, change := range surviving {
		applyChange(m.syncedFiles, change)
	}
	m.unsyncedChanges = nil
	m.files = map[string]*inode{}
	for name, file := range m.syncedFiles {
		file.data = file.contentAfterCrash(outcome)
		file.synced = slices.Clone(file.data)
		file.syncFailed = false
		m.files[name] = file
	}
}

// contentAfterCrash returns the content that the file has after a crash.
func (n *inode) contentAfterCrash(outcome CrashOutcome) []byte {
	commonPrefix := 0
	for commonPrefix < min(len(n.data), len(n.synced)) && n.data[commonPrefix] == n.synced[commonPrefix] {
		commonPrefix++
	}
	middle := commonPrefix + (len(n.data)-commonPrefix)/2
	switch outcome {
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

// beginOperation counts an operation and returns its injected fault. It returns an
// error for each fault except CrashDuring, whose operation still takes effect.
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

// operationError returns the error of an operation that took effect despite its fault.
func operationError(fault Fault) error {
	if fault == CrashDuring {
		return ErrCrashed
	}
	return nil
}

// changeName applies a name change to the visible files. A sync of the folder makes
// it durable.
func (m *Memory) changeName(change nameChange) {
	applyChange(m.files, change)
	m.unsyncedChanges = append(m.unsyncedChanges, change)
}

// applyChange applies a name change to a map of file names.
func applyChange(files map[string]*inode, change nameChange) {
	delete(files, change.oldName)
	if change.target == nil {
		delete(files, change.name)
		return
	}
	files[change.name] = change.target
}

// Create creates an empty file or truncates the existing one.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault, err := m.beginOperation(Create, name)
	if err != nil {
		return nil, err
	}
	file := m.files[name]
	if file == nil {
		file = &inode{}
		m.changeName(nameChange{name: name, target: file})
	}
	file.data = nil
	return &memoryFile{m, file, name}, operationError(fault)
}

// Open opens an existing file for writing.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := m.files[name]
	if m.crashed {
		return nil, ErrCrashed
	}
	if file == nil {
		return nil, ErrNotExist
	}
	return &memoryFile{m, file, name}, nil
}

// Read returns the whole content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	file := m.files[name]
	if m.crashed {
		return nil, ErrCrashed
	}
	if file == nil {
		return nil, ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// List returns the sorted base names of the files in a folder.
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

// Rename renames a file atomically and replaces an existing file of the new name.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault, err := m.beginOperation(Rename, from)
	if err != nil {
		return err
	}
	file := m.files[from]
	if file == nil {
		return ErrNotExist
	}
	m.changeName(nameChange{name: to, target: file, oldName: from})
	return operationError(fault)
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault, err := m.beginOperation(Remove, name)
	if err != nil {
		return err
	}
	if m.files[name] == nil {
		return ErrNotExist
	}
	m.changeName(nameChange{name: name})
	return operationError(fault)
}

// CreateFolder does nothing, because a Memory disk needs no folders.
func (m *Memory) CreateFolder(string) error { return nil }

// SyncFolder makes the name changes in a folder durable.
func (m *Memory) SyncFolder(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault, err := m.beginOperation(SyncFolder, dir)
	if err != nil {
		return err
	}
	var remaining []nameChange
	for _, change := range m.unsyncedChanges {
		if strings.HasPrefix(change.name, dir+string(filepath.Separator)) {
			applyChange(m.syncedFiles, change)
			continue
		}
		remaining = append(remaining, change)
	}
	m.unsyncedChanges = remaining
	return operationError(fault)
}

// Free returns FreeBytes.
func (m *Memory) Free(string) (uint64, error) { return m.FreeBytes, nil }
