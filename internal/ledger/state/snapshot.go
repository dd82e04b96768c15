package state

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/key"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/task"
	"gypsumreel/internal/domain/team"
	"gypsumreel/internal/ledger/command"
	"gypsumreel/internal/ledger/flows"
)

// snapshotVersion is the version of the snapshot format. Decode refuses other versions.
const snapshotVersion = 1

// deterministicMarshal encodes equal records to equal bytes.
var deterministicMarshal = proto.MarshalOptions{Deterministic: true}

// maxRecordBytes is the maximum size of one snapshot record in bytes.
const maxRecordBytes = 64 << 20

const (
	// recordsPerYield is the number of records after which decoding lets other work run.
	recordsPerYield = 256
	// pieceBytes is the size of a piece of the record of all flows. That record grows with the
	// cell, so it is decoded in pieces.
	pieceBytes = 256 << 10
)

// flowsField is the number of the field that holds the record of all flows.
var flowsField = (*record.Record)(nil).ProtoReflect().Descriptor().Fields().ByName("flows").Number()

// ErrSnapshot is returned for a snapshot that cannot be read.
var ErrSnapshot = errors.New("snapshot cannot be read")

// Encode returns the whole state in a fixed order, so that equal states have equal
// encodings.
func (s *State) Encode() ([]byte, error) {
	var buf bytes.Buffer
	write := func(r *record.Record) error {
		_, err := protodelim.MarshalOptions{MarshalOptions: deterministicMarshal}.MarshalTo(&buf, r)
		return err
	}
	for r := range s.records() {
		if err := write(r); err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
	}
	return buf.Bytes(), nil
}

// records yields every record of the state in a fixed order.
func (s *State) records() func(yield func(*record.Record) bool) {
	return func(yield func(*record.Record) bool) {
		h := tableRecord(s.table)
		h.Version, h.At, h.Next, h.Digest = snapshotVersion, int64(s.now), s.nextJobNumber, s.digest
		if !yield(&record.Record{What: &record.Record_Header{Header: h}}) {
			return
		}
		for _, id := range sortedKeys(s.keys) {
			if !yield(&record.Record{What: &record.Record_Key{Key: keyRecord(s.keys[id])}}) {
				return
			}
		}
		for _, id := range sortedKeys(s.changeResults) {
			if !yield(&record.Record{What: &record.Record_Answer{Answer: changeResultRecord(id, s.changeResults[id])}}) {
				return
			}
		}
		for _, id := range sortedKeys(s.servers) {
			if !yield(&record.Record{What: &record.Record_Server{Server: serverRecord(s.servers[id])}}) {
				return
			}
		}
		for _, number := range sortedKeys(s.jobs) {
			if !s.yieldJob(number, yield) {
				return
			}
		}
		yield(&record.Record{What: &record.Record_Flows{Flows: s.flowsRecord()}})
	}
}

// flowsRecord returns the record of all flows. In a snapshot copy this record was made
// when the snapshot began, because flows are changed in place.
func (s *State) flowsRecord() *record.FlowsRecord {
	if s.flowsSnapshot != nil {
		return s.flowsSnapshot
	}
	return s.flows.Record()
}

func (s *State) yieldJob(number uint64, yield func(*record.Record) bool) bool {
	j := s.jobs[number]
	if !yield(&record.Record{What: &record.Record_Job{Job: jobRecord(j)}}) {
		return false
	}
	for i := range j.Spec.Count {
		t, ok := s.tasks[task.ID{Job: number, Index: i}]
		if ok && !yield(&record.Record{What: &record.Record_Task{Task: taskRecord(t)}}) {
			return false
		}
	}
	return true
}

// Decode reads a state written by Encode. Empty data gives an empty state.
func Decode(data []byte) (*State, error) { return DecodeYielding(data, func() {}) }

// DecodeYielding is Decode for a caller that must not compute for long: it calls yield after each
// few records.
func DecodeYielding(data []byte, yield func()) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	var digest uint64
	for count := 0; len(data) > 0; count++ {
		if count%recordsPerYield == 0 {
			yield()
		}
		body, n := protowire.ConsumeBytes(data)
		if n < 0 || len(body) > maxRecordBytes {
			return nil, errors.Wrap(ErrSnapshot, "length of a record")
		}
		data = data[n:]
		r, err := decodeRecord(body, yield)
		if err != nil {
			return nil, errors.Mark(err, ErrSnapshot)
		}
		if h := r.GetHeader(); h != nil {
			digest = h.GetDigest()
		}
		if err := s.restoreRecord(r, yield); err != nil {
			return nil, err
		}
	}
	yield()
	s.endedJobs.sort()
	s.completedChanges.sort()
	s.goneServers.sort()
	if s.digest != digest {
		// All records were readable, but they are not the records that were written.
		return nil, errors.Wrap(ErrSnapshot, "digest of the records differs from the header")
	}
	return s, nil
}

// decodeRecord decodes one record.
func decodeRecord(body []byte, yield func()) (*record.Record, error) {
	if number, wireType, n := protowire.ConsumeTag(body); n > 0 && number == flowsField && wireType == protowire.BytesType {
		if all, m := protowire.ConsumeBytes(body[n:]); m > 0 && n+m == len(body) {
			f, err := decodeFlows(all, yield)
			return &record.Record{What: &record.Record_Flows{Flows: f}}, err
		}
	}
	r := &record.Record{}
	return r, proto.Unmarshal(body, r)
}

// decodeFlows decodes the record of all flows in pieces. A message may be cut between any two
// fields, since merging the pieces gives the whole.
func decodeFlows(body []byte, yield func()) (*record.FlowsRecord, error) {
	f := &record.FlowsRecord{}
	for len(body) > 0 {
		end := 0
		for end < min(pieceBytes, len(body)) {
			_, _, n := protowire.ConsumeField(body[end:])
			if n < 0 {
				return nil, protowire.ParseError(n)
			}
			end += n
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(body[:end], f); err != nil {
			return nil, err
		}
		body = body[end:]
		yield()
	}
	return f, nil
}

func (s *State) restoreRecord(r *record.Record, yield func()) error {
	switch w := r.GetWhat().(type) {
	case *record.Record_Header:
		return s.restoreHeader(w.Header)
	case *record.Record_Key:
		k := key.Key{ID: w.Key.GetId(), Team: w.Key.GetTeam(), Operator: w.Key.GetOperator(), Withdrawn: w.Key.GetWithdrawn()}
		copy(k.Digest[:], w.Key.GetDigest())
		s.putKey(k)
	case *record.Record_Answer:
		a := w.Answer
		s.putChangeResult(a.GetId(), ChangeResult{RequestHash: a.GetSum(), Code: code.Code(a.GetCode()), Detail: a.GetDetail(), Revision: a.GetRevision(), AppliedAt: time.Duration(a.GetAt())})
	case *record.Record_Server:
		s.putServer(serverFromRecord(w.Server))
	case *record.Record_Job:
		s.putJob(jobFromRecord(w.Job))
	case *record.Record_Task:
		if _, ok := s.jobs[w.Task.GetJob()]; !ok {
			return errors.Wrap(ErrSnapshot, "task record without its job")
		}
		s.putTask(taskFromRecord(w.Task))
	case *record.Record_Flows:
		l, err := flows.RestoreYielding(w.Flows, yield)
		if err != nil {
			return errors.Mark(err, ErrSnapshot)
		}
		s.flows = l
	default:
		return errors.Wrap(ErrSnapshot, "record of unknown type")
	}
	return nil
}

func (s *State) restoreHeader(h *record.Header) error {
	if h.GetVersion() != snapshotVersion {
		return errors.Wrapf(ErrSnapshot, "snapshot version %d, supported version %d", h.GetVersion(), snapshotVersion)
	}
	s.now, s.nextJobNumber = time.Duration(h.GetAt()), h.GetNext()
	if h.GetRevision() == 0 {
		return nil
	}
	var rows []team.Row
	for _, m := range h.GetRows() {
		rows = append(rows, command.RowFromMessage(m))
	}
	s.putTable(table.Restore(h.GetRevision(), rows), rows, nil)
	return nil
}

func keyRecord(k key.Key) *record.Key {
	return &record.Key{Id: k.ID, Team: k.Team, Operator: k.Operator, Digest: k.Digest[:], Withdrawn: k.Withdrawn}
}

func changeResultRecord(id string, a ChangeResult) *record.Answer {
	return &record.Answer{Id: id, Sum: a.RequestHash, Code: uint32(a.Code), Detail: a.Detail, Revision: a.Revision, At: int64(a.AppliedAt)}
}

func serverRecord(b Server) *record.Server {
	return &record.Server{
		Id: b.ID, Incarnation: b.Incarnation, Nonce: b.Nonce, Capacity: command.SizeMessage(b.Capacity),
		Rack: b.Rack, Zone: b.Zone, Labels: b.Labels, State: uint32(b.Server.State), Since: int64(b.StateSince), Drain: b.DrainRequested,
	}
}

func serverFromRecord(r *record.Server) Server {
	return Server{
		Server: backend.Server{
			ID: r.GetId(), Incarnation: r.GetIncarnation(), Nonce: r.GetNonce(), Capacity: command.SizeFromMessage(r.GetCapacity()),
			Rack: r.GetRack(), Zone: r.GetZone(), Labels: r.GetLabels(),
			State: backend.State(r.GetState()), StateSince: time.Duration(r.GetSince()),
		},
		DrainRequested: r.GetDrain(),
	}
}

func jobRecord(j *Job) *record.Job {
	return &record.Job{
		Number: j.Number, Team: j.Spec.Team, Spec: command.SpecMessage(j.Spec), Accepted: int64(j.AcceptedAt),
		Outcome: uint32(j.Outcome), Code: uint32(j.Code), Cancelled: j.Cancelled, Ended: int64(j.EndedAt), Given: uint32(j.GiveUpCode),
	}
}

func jobFromRecord(r *record.Job) *Job {
	return &Job{
		Number: r.GetNumber(), Spec: command.SpecFromMessage(r.GetTeam(), r.GetSpec()), RequestHash: hashSpec(r.GetTeam(), r.GetSpec()),
		AcceptedAt: time.Duration(r.GetAccepted()), Outcome: v1.Outcome(r.GetOutcome()), Code: code.Code(r.GetCode()),
		Cancelled: r.GetCancelled(), EndedAt: time.Duration(r.GetEnded()), GiveUpCode: code.Code(r.GetGiven()),
	}
}

func taskRecord(t *Task) *record.Task {
	return &record.Task{
		Job: t.ID.Job, Index: t.ID.Index, Phase: uint32(t.Phase), Attempt: t.Attempt, Server: t.Server,
		Incarnation: t.Incarnation, Since: int64(t.PhaseSince), Exit: t.ExitCode, Answer: t.Answer, Checkpoint: t.Checkpoint,
		Save: t.SaveCheckpoint, Started: t.Started,
	}
}

func taskFromRecord(r *record.Task) *Task {
	return &Task{
		ID: task.ID{Job: r.GetJob(), Index: r.GetIndex()}, Phase: Phase(r.GetPhase()), Attempt: r.GetAttempt(),
		Server: r.GetServer(), Incarnation: r.GetIncarnation(), PhaseSince: time.Duration(r.GetSince()), ExitCode: r.GetExit(),
		Answer: r.GetAnswer(), Checkpoint: r.GetCheckpoint(), SaveCheckpoint: r.GetSave(), Started: r.GetStarted(),
	}
}
