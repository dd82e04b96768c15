package quorum

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Tick advances the time. The caller sends one at least every tenth of a heartbeat
// interval.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message Message }

// Propose appends commands to the log, starting at FirstIndex. All commands are dropped
// unless this replica leads in Term and FirstIndex is the next log index.
type Propose struct {
	Term       uint64
	FirstIndex uint64
	Commands   [][]byte
}

// ChangeMembership proposes to add, replace or remove one member in the entry at Index. It
// is dropped under the same conditions as Propose. If the change is not possible at
// present, a no-op entry is appended at Index instead.
type ChangeMembership struct {
	Term   uint64
	Index  uint64
	Member Member
	Remove bool
}

// WriteSynced confirms that the journal write with number Seq is synced to disk.
type WriteSynced struct{ Seq uint64 }

// SnapshotSaved confirms that the snapshot at Index from Effects.SaveSnapshot is on disk.
type SnapshotSaved struct{ Index uint64 }

// SnapshotSaveFailed reports that the snapshot at Index from Effects.SaveSnapshot could
// not be saved.
type SnapshotSaveFailed struct{ Index uint64 }

// Compact provides the state after the committed entry at Index as a new snapshot.
type Compact struct {
	Index uint64
	State []byte
}

// ConfirmLeadership requests the confirmation of a heartbeat round that starts now or
// later.
type ConfirmLeadership struct{}

// TransferLeadership requests that the leader hand over to the voter with the most
// complete log.
type TransferLeadership struct{}

// Abstain begins or ends the abstention of this replica from leading. A leader hands over, or steps
// down if that takes too long; a follower does not stand for election. It still votes and
// acknowledges entries. The only voter is elected again, since nobody could take over.
type Abstain struct{ On bool }

// ReloadState requests that the newest snapshot and all committed entries after it be
// reported again.
type ReloadState struct{}

func (Tick) isEvent()               {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ChangeMembership) isEvent()   {}
func (WriteSynced) isEvent()        {}
func (SnapshotSaved) isEvent()      {}
func (SnapshotSaveFailed) isEvent() {}
func (Compact) isEvent()            {}
func (ConfirmLeadership) isEvent()  {}
func (TransferLeadership) isEvent() {}
func (Abstain) isEvent()            {}
func (ReloadState) isEvent()        {}
