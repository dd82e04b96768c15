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
	Term       uint64
	FirstIndex uint64
	Commands   [][]byte
}

// ChangeMembership proposes one change of membership at First, dropped as Propose is. A
// change that can't be made now takes its index as an Empty entry.
type ChangeMembership struct {
	Term   uint64
	Index  uint64
	Member Member
	Remove bool
}

// WriteSynced tells that the write with this number is on the disk.
type WriteSynced struct{ Seq uint64 }

// SnapshotSaved tells that the snapshot of Effects.Save at Index is on the disk.
type SnapshotSaved struct{ Index uint64 }

// SnapshotSaveFailed tells that the snapshot of Effects.Save at Index could not be saved.
type SnapshotSaveFailed struct{ Index uint64 }

// Compact gives the state after the committed entry at Index.
type Compact struct {
	Index uint64
	State []byte
}

// ConfirmLeadership asks for a heartbeat round that begins now or later.
type ConfirmLeadership struct{}

// TransferLeadership asks the leader to hand over to the voter that is furthest.
type TransferLeadership struct{}

// ReloadState asks for the newest snapshot and all committed entries after it.
type ReloadState struct{}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ChangeMembership) event()   {}
func (WriteSynced) event()        {}
func (SnapshotSaved) event()      {}
func (SnapshotSaveFailed) event() {}
func (Compact) event()            {}
func (ConfirmLeadership) event()  {}
func (TransferLeadership) event() {}
func (ReloadState) event()        {}
