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

var opNames = [...]string{"none", "create", "write", "truncate", "sync", "rename", "remove", "sync folder"}

// String returns the name of the operation.
func (o Operation) String() string { return opNames[o] }

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

// errBroken is what a broken operation returns.
var errBroken = errors.New("input/output error")

// Memory is a disk in memory that goes wrong on request, to test what rests on
// a Disk. Folders need not be made.
type Memory struct {
	// InjectFault is asked before the operation with this count, from 1; it is not
	// asked when nil.
	InjectFault func(n int, op Operation, name string) Fault
	// FreeBytes is what Free returns.
	FreeBytes uint64

	mu      sync.Mutex
	count   int
	crashed bool
	names   map[string]*node
	stable  map[string]*node
	pending []change
}

// node is the content of a file.
type node struct {
	data   []byte
	stable []byte
	// lost is set by a failed sync.
	lost bool
}

// change is a change of a name that is not synced: to nil for a removal, and
// with the name that a renaming takes away.
type change struct {
	name string
	to   *node
	gone string
}

// OperationCount returns how many operations were begun.
func (m *Memory) OperationCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count
}

// Clone returns a disk in the same state, without Inject and without open files.
func (m *Memory) Clone() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := map[*node]*node{nil: nil}
	copied := func(n *node) *node {
		if _, ok := copies[n]; !ok {
			copies[n] = &node{data: slices.Clone(n.data), stable: slices.Clone(n.stable), lost: n.lost}
		}
		return copies[n]
	}
	c := &Memory{FreeBytes: m.FreeBytes, count: m.count, crashed: m.crashed, names: map[string]*node{}, stable: map[string]*node{}}
	for name, n := range m.names {
		c.names[name] = copied(n)
	}
	for name, n := range m.stable {
		c.stable[name] = copied(n)
	}
	for _, p := range m.pending {
		c.pending = append(c.pending, change{name: p.name, to: copied(p.to), gone: p.gone})
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
	kept := m.pending
	switch o {
	case AllLost, NamesLost:
		kept = nil
	case FirstHalfKept:
		kept = kept[:(len(kept)+1)/2]
	case SecondHalfKept:
		kept = kept[len(kept)/2:]
	}
	for _, c := range kept {
		set(m.stable, c)
	}
	m.pending = nil
	m.names = map[string]*node{}
	for name, n := range m.stable {
		n.data = n.after(o)
		n.stable = slices.Clone(n.data)
		n.lost = false
		m.names[name] = n
	}
}

// after returns the content that a crash leaves.
func (n *node) after(o CrashOutcome) []byte {
	same := 0
	for same < min(len(n.data), len(n.stable)) && n.data[same] == n.stable[same] {
		same++
	}
	half := same + (len(n.data)-same)/2
	switch o {
	case AllLost, ContentsLost:
		return n.stable
	case FirstHalfKept:
		return slices.Clone(n.data[:half])
	case SecondHalfKept:
		b := slices.Clone(n.data)
		clear(b[same:half])
		return b
	}
	return n.data
}

// begin counts an operation and asks for its fault.
func (m *Memory) begin(op Operation, name string) (Fault, error) {
	if m.names == nil {
		m.names, m.stable = map[string]*node{}, map[string]*node{}
	}
	if m.crashed {
		return CrashBefore, ErrCrashed
	}
	m.count++
	fault := NoFault
	if m.InjectFault != nil {
		fault = m.InjectFault(m.count, op, name)
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
		return fault, errBroken
	}
	return fault, nil
}

// end returns the error of an operation that was done in spite of its fault.
func end(f Fault) error {
	if f == CrashDuring {
		return ErrCrashed
	}
	return nil
}

// change changes a name, until a sync of its folder only in what is seen.
func (m *Memory) change(c change) {
	set(m.names, c)
	m.pending = append(m.pending, c)
}

func set(names map[string]*node, c change) {
	delete(names, c.gone)
	if c.to == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.to
}

// Create makes an empty file, or empties the one that exists.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.begin(Create, name)
	if err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		n = &node{}
		m.change(change{name: name, to: n})
	}
	n.data = nil
	return &memoryFile{m, n, name}, end(f)
}

// Open opens an existing file for writing.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.names[name]
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
	n := m.names[name]
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
	for name := range m.names {
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
	f, err := m.begin(Rename, from)
	if err != nil {
		return err
	}
	n := m.names[from]
	if n == nil {
		return ErrNotExist
	}
	m.change(change{name: to, to: n, gone: from})
	return end(f)
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.begin(Remove, name)
	if err != nil {
		return err
	}
	if m.names[name] == nil {
		return ErrNotExist
	}
	m.change(change{name: name})
	return end(f)
}

// CreateFolder does nothing: folders need not be made.
func (m *Memory) CreateFolder(string) error { return nil }

// SyncFolder makes the changes of names in a folder last.
func (m *Memory) SyncFolder(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := m.begin(SyncFolder, dir)
	if err != nil {
		return err
	}
	var other []change
	for _, c := range m.pending {
		if strings.HasPrefix(c.name, dir+string(filepath.Separator)) {
			set(m.stable, c)
			continue
		}
		other = append(other, c)
	}
	m.pending = other
	return end(f)
}

// Free returns Room.
func (m *Memory) Free(string) (uint64, error) { return m.FreeBytes, nil }
