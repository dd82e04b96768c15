package disk

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Op is an operation that changes a disk or makes a change last.
type Op uint8

// The operations.
const (
	Create Op = iota + 1
	Write
	Truncate
	Sync
	Rename
	Remove
	SyncFolder
)

var opNames = [...]string{"none", "create", "write", "truncate", "sync", "rename", "remove", "sync folder"}

// String returns the name of the operation.
func (o Op) String() string { return opNames[o] }

// Fault is what goes wrong at an operation of a Memory disk.
type Fault uint8

// The faults.
const (
	// Well means no fault.
	Well Fault = iota
	// Crash ends everything before the operation.
	Crash
	// CrashTorn ends everything in the middle of the operation.
	CrashTorn
	// Full refuses the operation for lack of room; half of a write is done.
	Full
	// NoFile refuses the operation, which opens a file, since none can be opened.
	NoFile
	// Broken fails the operation. A sync that fails loses the data: later syncs
	// of the file succeed without it, as on common systems.
	Broken
)

// Outcome is what a crash does to changes that were not synced.
type Outcome uint8

// The outcomes of a crash.
const (
	// Killed ends the process only: everything is still seen, and still not synced.
	Killed Outcome = iota
	// Lost loses everything that was not synced.
	Lost
	// Kept keeps everything, as if synced.
	Kept
	// NamesLost keeps contents but no creation, renaming or removal.
	NamesLost
	// ContentsLost keeps names but no contents.
	ContentsLost
	// Half keeps the first half of contents and of name changes.
	Half
	// Hole keeps, of contents and of name changes, only the second half; contents
	// have zeros before it.
	Hole
)

// Outcomes are all outcomes of a crash.
var Outcomes = []Outcome{Killed, Lost, Kept, NamesLost, ContentsLost, Half, Hole}

// ErrCrashed is what every operation returns after a crash, until Restart.
var ErrCrashed = errors.New("the disk has crashed")

// errBroken is what a broken operation returns.
var errBroken = errors.New("input/output error")

// Memory is a disk in memory that goes wrong on request, to test what rests on
// a Disk. Folders need not be made.
type Memory struct {
	// Inject is asked before the operation with this count, from 1; it is not
	// asked when nil.
	Inject func(n int, op Op, name string) Fault
	// Room is what Free returns.
	Room uint64

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

// Count returns how many operations were begun.
func (m *Memory) Count() int {
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
	c := &Memory{Room: m.Room, count: m.count, crashed: m.crashed, names: map[string]*node{}, stable: map[string]*node{}}
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
func (m *Memory) Restart(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
	if o == Killed {
		return
	}
	kept := m.pending
	switch o {
	case Lost, NamesLost:
		kept = nil
	case Half:
		kept = kept[:(len(kept)+1)/2]
	case Hole:
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
func (n *node) after(o Outcome) []byte {
	same := 0
	for same < min(len(n.data), len(n.stable)) && n.data[same] == n.stable[same] {
		same++
	}
	half := same + (len(n.data)-same)/2
	switch o {
	case Lost, ContentsLost:
		return n.stable
	case Half:
		return slices.Clone(n.data[:half])
	case Hole:
		b := slices.Clone(n.data)
		clear(b[same:half])
		return b
	}
	return n.data
}

// begin counts an operation and asks for its fault.
func (m *Memory) begin(op Op, name string) (Fault, error) {
	if m.names == nil {
		m.names, m.stable = map[string]*node{}, map[string]*node{}
	}
	if m.crashed {
		return Crash, ErrCrashed
	}
	m.count++
	fault := Well
	if m.Inject != nil {
		fault = m.Inject(m.count, op, name)
	}
	switch fault {
	case Crash:
		m.crashed = true
		return fault, ErrCrashed
	case CrashTorn:
		m.crashed = true
		return fault, nil
	case Full:
		return fault, errors.Mark(errors.New("no space left on device"), ErrFull)
	case NoFile:
		return fault, errors.Mark(errors.New("too many open files"), ErrNoFile)
	case Broken:
		return fault, errBroken
	}
	return fault, nil
}

// end returns the error of an operation that was done in spite of its fault.
func end(f Fault) error {
	if f == CrashTorn {
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
		return nil, ErrMissing
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
		return nil, ErrMissing
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
		return ErrMissing
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
		return ErrMissing
	}
	m.change(change{name: name})
	return end(f)
}

// Folder does nothing: folders need not be made.
func (m *Memory) Folder(string) error { return nil }

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
func (m *Memory) Free(string) (uint64, error) { return m.Room, nil }
