package state

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
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

// version of the snapshot's form; a reader refuses a later one.
const version = 1

// codec writes equal records as equal bytes.
var codec = proto.MarshalOptions{Deterministic: true}

// maxRecord bounds one record of a snapshot, in bytes.
const maxRecord = 64 << 20

// ErrSnapshot is returned for a snapshot that cannot be read.
var ErrSnapshot = errors.New("unreadable snapshot")

// Encode returns the whole state, sorted: equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	var buf bytes.Buffer
	put := func(r *record.Record) error {
		_, err := protodelim.MarshalOptions{MarshalOptions: codec}.MarshalTo(&buf, r)
		return err
	}
	for r := range s.records() {
		if err := put(r); err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
	}
	return buf.Bytes(), nil
}

// records yields every record of the state in a fixed order.
func (s *State) records() func(yield func(*record.Record) bool) {
	return func(yield func(*record.Record) bool) {
		h := tableRecord(s.table)
		h.Version, h.At, h.Next, h.Digest = version, int64(s.at), s.next, s.digest
		if !yield(&record.Record{What: &record.Record_Header{Header: h}}) {
			return
		}
		for _, id := range sorted(s.keys) {
			if !yield(&record.Record{What: &record.Record_Key{Key: keyRecord(s.keys[id])}}) {
				return
			}
		}
		for _, id := range sorted(s.answers) {
			if !yield(&record.Record{What: &record.Record_Answer{Answer: answerRecord(id, s.answers[id])}}) {
				return
			}
		}
		for _, id := range sorted(s.servers) {
			if !yield(&record.Record{What: &record.Record_Server{Server: serverRecord(s.servers[id])}}) {
				return
			}
		}
		for _, number := range sorted(s.jobs) {
			if !s.yieldJob(number, yield) {
				return
			}
		}
		yield(&record.Record{What: &record.Record_Flows{Flows: s.flowsRecord()}})
	}
}

// flowsRecord returns the record of all flows: that of a picture was taken when
// the picture was begun, since flows change in place.
func (s *State) flowsRecord() *record.FlowsRecord {
	if s.pictured != nil {
		return s.pictured
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

// Decode reads a state that Encode wrote. No bytes at all are an empty state.
func Decode(data []byte) (*State, error) {
	s := New()
	if len(data) == 0 {
		return s, nil
	}
	rd := bytes.NewReader(data)
	var digest uint64
	for rd.Len() > 0 {
		r := &record.Record{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxRecord}).UnmarshalFrom(rd, r); err != nil {
			return nil, errors.Mark(err, ErrSnapshot)
		}
		if h := r.GetHeader(); h != nil {
			digest = h.GetDigest()
		}
		if err := s.restore(r); err != nil {
			return nil, err
		}
	}
	s.ended.sort()
	s.told.sort()
	s.left.sort()
	if s.digest != digest {
		// The records were read whole but are not those that were written.
		return nil, errors.Wrap(ErrSnapshot, "digest differs")
	}
	return s, nil
}

func (s *State) restore(r *record.Record) error {
	switch w := r.GetWhat().(type) {
	case *record.Record_Header:
		return s.restoreHeader(w.Header)
	case *record.Record_Key:
		k := key.Key{ID: w.Key.GetId(), Team: w.Key.GetTeam(), Operator: w.Key.GetOperator(), Withdrawn: w.Key.GetWithdrawn()}
		copy(k.Digest[:], w.Key.GetDigest())
		s.putKey(k)
	case *record.Record_Answer:
		a := w.Answer
		s.putAnswer(a.GetId(), ChangeResult{RequestHash: a.GetSum(), Code: code.Code(a.GetCode()), Detail: a.GetDetail(), Revision: a.GetRevision(), AppliedAt: time.Duration(a.GetAt())})
	case *record.Record_Server:
		s.putServer(serverOf(w.Server))
	case *record.Record_Job:
		s.putJob(jobOf(w.Job))
	case *record.Record_Task:
		if _, ok := s.jobs[w.Task.GetJob()]; !ok {
			return errors.Wrap(ErrSnapshot, "task without its job")
		}
		s.putTask(taskOf(w.Task))
	case *record.Record_Flows:
		l, err := flows.Restore(w.Flows)
		if err != nil {
			return errors.Mark(err, ErrSnapshot)
		}
		s.flows = l
	default:
		return errors.Wrap(ErrSnapshot, "record of unknown kind")
	}
	return nil
}

func (s *State) restoreHeader(h *record.Header) error {
	if h.GetVersion() != version {
		return errors.Wrapf(ErrSnapshot, "version %d, this program reads %d", h.GetVersion(), version)
	}
	s.at, s.next = time.Duration(h.GetAt()), h.GetNext()
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

func answerRecord(id string, a ChangeResult) *record.Answer {
	return &record.Answer{Id: id, Sum: a.RequestHash, Code: uint32(a.Code), Detail: a.Detail, Revision: a.Revision, At: int64(a.AppliedAt)}
}

func serverRecord(b Server) *record.Server {
	return &record.Server{
		Id: b.ID, Incarnation: b.Incarnation, Nonce: b.Nonce, Capacity: command.SizeMessage(b.Capacity),
		Rack: b.Rack, Zone: b.Zone, Labels: b.Labels, State: uint32(b.Server.State), Since: int64(b.Since), Drain: b.DrainRequested,
	}
}

func serverOf(r *record.Server) Server {
	return Server{
		Server: backend.Server{
			ID: r.GetId(), Incarnation: r.GetIncarnation(), Nonce: r.GetNonce(), Capacity: command.SizeFromMessage(r.GetCapacity()),
			Rack: r.GetRack(), Zone: r.GetZone(), Labels: r.GetLabels(),
			State: backend.State(r.GetState()), Since: time.Duration(r.GetSince()),
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

func jobOf(r *record.Job) *Job {
	return &Job{
		Number: r.GetNumber(), Spec: command.SpecFromMessage(r.GetTeam(), r.GetSpec()), RequestHash: sumSpec(r.GetTeam(), r.GetSpec()),
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

func taskOf(r *record.Task) *Task {
	return &Task{
		ID: task.ID{Job: r.GetJob(), Index: r.GetIndex()}, Phase: Phase(r.GetPhase()), Attempt: r.GetAttempt(),
		Server: r.GetServer(), Incarnation: r.GetIncarnation(), PhaseSince: time.Duration(r.GetSince()), ExitCode: r.GetExit(),
		Answer: r.GetAnswer(), Checkpoint: r.GetCheckpoint(), SaveCheckpoint: r.GetSave(), Started: r.GetStarted(),
	}
}
