package quorum

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
)

// MessageKind is the kind of a message.
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

// ErrWrongReceiver means that a message is addressed to another replica identity.
var ErrWrongReceiver = errors.New("message for another replica")

// Message is a message between consensus cores. proto/inner/quorum.proto documents the
// fields.
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
	// Offset, TotalBytes, Checksum, Data and Members are used by SnapshotChunk and
	// SnapshotChunkReply only.
	Offset     uint64
	TotalBytes uint64
	Checksum   uint64
	Data       []byte
	Members    []Member
	// SenderAddress is set if the receiver may not know the address of the sender.
	SenderAddress string
}

// EncodeMessage encodes a message without its From field.
func EncodeMessage(m Message) ([]byte, error) {
	wire := &inner.ConsensusMessage{
		Kind: uint32(m.Kind), Term: m.Term, To: xxhash.Sum64String(m.To),
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.CommitIndex, Round: m.Round,
		Reject: m.Reject, Force: m.LeadershipTransfer, Hint: m.ConflictIndex, Address: m.SenderAddress,
	}
	for _, e := range m.Entries {
		wire.Entries = append(wire.Entries, &inner.LogEntry{Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	if m.Kind == SnapshotChunk || m.Kind == SnapshotChunkReply {
		wire.Chunk = &inner.SnapshotChunk{
			Offset: m.Offset, Total: m.TotalBytes, Sum: m.Checksum, Data: m.Data,
			Members: membersToWire(m.Members),
		}
	}
	data, err := proto.Marshal(wire)
	return data, errors.Wrap(err, "encode consensus message")
}

// DecodeMessage decodes a message from a sender that the transport has authenticated. It
// returns ErrWrongReceiver if the message is addressed to another replica.
func DecodeMessage(receiver, sender string, data []byte) (Message, error) {
	var wire inner.ConsensusMessage
	if err := proto.Unmarshal(data, &wire); err != nil {
		return Message{}, errors.Wrap(err, "decode consensus message")
	}
	// A replica with a replaced disk has the address of its earlier identity. Without the
	// check of the identity hash, it would answer for entries that it has lost.
	if wire.To != xxhash.Sum64String(receiver) {
		return Message{}, ErrWrongReceiver
	}
	m := Message{
		Kind: MessageKind(wire.Kind), From: sender, To: receiver, Term: wire.Term,
		Index: wire.Index, LogTerm: wire.LogTerm, CommitIndex: wire.Commit, Round: wire.Round,
		Reject: wire.Reject, LeadershipTransfer: wire.Force, ConflictIndex: wire.Hint, SenderAddress: wire.Address,
	}
	for i, e := range wire.Entries {
		m.Entries = append(m.Entries, Entry{
			Index: m.Index + uint64(i) + 1, Term: e.Term, Kind: EntryKind(e.Kind), Data: e.Data,
		})
	}
	if wire.Chunk != nil {
		m.Offset, m.TotalBytes, m.Checksum, m.Data = wire.Chunk.Offset, wire.Chunk.Total, wire.Chunk.Sum, wire.Chunk.Data
		m.Members = membersFromWire(wire.Chunk.Members)
	}
	return m, nil
}

// EncodeMembers encodes the data of a membership entry.
func EncodeMembers(members []Member) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membersToWire(members))
	if err != nil {
		// Encoding fails only for strings that are not valid UTF-8. Member.isValid rejects
		// them.
		panic(errors.Wrap(err, "encode members"))
	}
	return data
}

// DecodeMembers decodes the data of a membership entry.
func DecodeMembers(data []byte) ([]Member, error) {
	var wire inner.LogMembers
	if err := proto.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return membersFromWire(&wire), nil
}

func membersToWire(members []Member) *inner.LogMembers {
	if len(members) == 0 {
		return nil
	}
	wire := &inner.LogMembers{}
	for _, m := range members {
		wire.Members = append(wire.Members, &inner.LogMember{Id: m.ID, Address: m.Address, Learner: m.Learner})
	}
	return wire
}

func membersFromWire(wire *inner.LogMembers) []Member {
	var members []Member
	for _, m := range wire.GetMembers() {
		members = append(members, Member{ID: m.Id, Address: m.Address, Learner: m.Learner})
	}
	return members
}
