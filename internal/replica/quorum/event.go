package quorum

// Event is something that happens to a core.
type Event interface{ event() }

// Tick lets time pass; send one at least every tenth of a heartbeat.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct{ Message Message }

// Propose appends commands at First. It is dropped whole unless this replica
// leads in Term and First is the next index.
type Propose struct {
	Term     uint64
	First    uint64
	Commands [][]byte
}

// Alter proposes one change of membership at First, dropped as Propose is. A
// change that can't be made now takes its index as an Empty entry.
type Alter struct {
	Term   uint64
	First  uint64
	Member Member
	Remove bool
}

// Synced tells that the write with this number is on the disk.
type Synced struct{ Seq uint64 }

// SnapshotSaved tells that the snapshot of Effects.Save at Index is on the disk.
type SnapshotSaved struct{ Index uint64 }

// SnapshotFailed tells that the snapshot of Effects.Save at Index could not be saved.
type SnapshotFailed struct{ Index uint64 }

// Compact gives the state after the committed entry at Index.
type Compact struct {
	Index uint64
	State []byte
}

// Confirm asks for a heartbeat round that begins now or later.
type Confirm struct{}

// Transfer asks the leader to hand over to the voter that is furthest.
type Transfer struct{}

// Reload asks for the newest snapshot and all committed entries after it.
type Reload struct{}

func (Tick) event()           {}
func (Receive) event()        {}
func (Propose) event()        {}
func (Alter) event()          {}
func (Synced) event()         {}
func (SnapshotSaved) event()  {}
func (SnapshotFailed) event() {}
func (Compact) event()        {}
func (Confirm) event()        {}
func (Transfer) event()       {}
func (Reload) event()         {}
