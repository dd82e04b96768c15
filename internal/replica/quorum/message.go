package quorum

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
)

// MessageKind says what a message is.
type MessageKind uint8

// The kinds of message.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	VoteRequest
	VoteReply
	AppendEntries
	AppendEntriesReply
	Heartbeat
	HeartbeatReply
	SnapshotChunk
	SnapshotChunkReply
	TimeoutNow
)

// ErrWrongReceiver tells that a message was meant for another identity.
var ErrWrongReceiver = errors.New("message for another replica")

// Message is what cores send each other; proto/inner/quorum.proto tells the fields.
type Message struct {
	Kind               MessageKind
	From               string
	To                 string
	Term               uint64
	Index              uint64
	LogTerm            uint64
	CommitIndex        uint64
	Round              uint64
	Reject             bool
	LeadershipTransfer bool
	ConflictIndex      uint64
	Entries            []Entry
	// Offset, Total, Sum, Data and Members belong to Chunk and ChunkReply.
	Offset     uint64
	TotalBytes uint64
	Checksum   uint64
	Data       []byte
	Members    []Member
	// SenderAddress is the sender's.
	SenderAddress string
}

// EncodeMessage gives the message's encoding, without From.
func EncodeMessage(m Message) ([]byte, error) {
	w := &inner.ConsensusMessage{
		Kind: uint32(m.Kind), Term: m.Term, To: xxhash.Sum64String(m.To),
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.CommitIndex, Round: m.Round,
		Reject: m.Reject, Force: m.LeadershipTransfer, Hint: m.ConflictIndex, Address: m.SenderAddress,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &inner.LogEntry{Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if m.Kind == SnapshotChunk || m.Kind == SnapshotChunkReply {
		w.Chunk = &inner.SnapshotChunk{
			Offset: m.Offset, Total: m.TotalBytes, Sum: m.Checksum, Data: m.Data,
			Members: wireMembers(m.Members),
		}
	}
	data, err := proto.Marshal(w)
	return data, errors.Wrap(err, "encode consensus message")
}

// DecodeMessage reads a message that the transport proved to be of from. It returns
// ErrOther when the message is not for self.
func DecodeMessage(self, from string, data []byte) (Message, error) {
	var w inner.ConsensusMessage
	if err := proto.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decode consensus message")
	}
	// A replica with a replaced disk at the address of its forerunner would
	// answer for entries that it lost; the hash of the identity keeps it silent.
	if w.To != xxhash.Sum64String(self) {
		return Message{}, ErrWrongReceiver
	}
	m := Message{
		Kind: MessageKind(w.Kind), From: from, To: self, Term: w.Term,
		Index: w.Index, LogTerm: w.LogTerm, CommitIndex: w.Commit, Round: w.Round,
		Reject: w.Reject, LeadershipTransfer: w.Force, ConflictIndex: w.Hint, SenderAddress: w.Address,
	}
	for i, e := range w.Entries {
		m.Entries = append(m.Entries, Entry{
			Index: m.Index + uint64(i) + 1, Term: e.Term, Kind: EntryKind(e.Kind), Data: e.Data,
		})
	}
	if w.Chunk != nil {
		m.Offset, m.TotalBytes, m.Checksum, m.Data = w.Chunk.Offset, w.Chunk.Total, w.Chunk.Sum, w.Chunk.Data
		m.Members = ownMembers(w.Chunk.Members)
	}
	return m, nil
}

// EncodeMembers gives the data of a Change entry.
func EncodeMembers(members []Member) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(wireMembers(members))
	if err != nil {
		// Only strings that are not UTF-8 lead here; change refuses them.
		panic(errors.Wrap(err, "encode members"))
	}
	return data
}

// DecodeMembers reads the data of a Change entry.
func DecodeMembers(data []byte) ([]Member, error) {
	var w inner.LogMembers
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return ownMembers(&w), nil
}

func wireMembers(members []Member) *inner.LogMembers {
	if len(members) == 0 {
		return nil
	}
	w := &inner.LogMembers{}
	for _, m := range members {
		w.Members = append(w.Members, &inner.LogMember{Id: m.ID, Address: m.Address, Learner: m.Learner})
	}
	return w
}

func ownMembers(w *inner.LogMembers) []Member {
	var members []Member
	for _, m := range w.GetMembers() {
		members = append(members, Member{ID: m.Id, Address: m.Address, Learner: m.Learner})
	}
	return members
}
