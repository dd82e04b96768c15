// Package command makes and reads the commands that the control group replicates.
package command

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/team"
)

// codec marshals the same message to the same bytes on every replica.
var codec = proto.MarshalOptions{Deterministic: true}

// Encode returns the bytes of a message; equal messages give equal bytes.
func Encode(m proto.Message) []byte {
	b, err := codec.Marshal(m)
	if err != nil {
		// Only invalid UTF-8 can fail here, and the edges refuse it.
		panic(errors.Wrap(err, "encode"))
	}
	return b
}

// Decode reads a command as it stands in the log.
func Decode(data []byte) (*record.Command, error) {
	c := &record.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	return c, nil
}

// SizeFromMessage converts a size from its message; nil is the zero size.
func SizeFromMessage(s *v1.Size) capacity.Size {
	return capacity.Size{CPU: s.GetCpu(), Memory: s.GetMemory(), Accel: s.GetAccel(), Slots: s.GetSlots()}
}

// SizeMessage converts a size to its message.
func SizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel, Slots: s.Slots}
}

// SpecFromMessage converts a job's description from its message.
func SpecFromMessage(owner string, m *v1.Spec) *job.Spec {
	return &job.Spec{
		ID:       m.GetId(),
		Team:     owner,
		Kind:     job.Kind(m.GetKind()),
		Name:     m.GetName(),
		Count:    m.GetCount(),
		Size:     SizeFromMessage(m.GetSize()),
		Runtime:  time.Duration(m.GetRuntime()) * time.Millisecond,
		Once:     m.GetOnce(),
		Input:    m.GetInput(),
		Deadline: time.Duration(m.GetDeadline()) * time.Millisecond,
		Labels:   m.GetLabels(),
		Floor:    m.GetFloor(),
	}
}

// SpecMessage converts a job's description to its message.
func SpecMessage(s *job.Spec) *v1.Spec {
	return &v1.Spec{
		Id:       s.ID,
		Kind:     v1.Kind(s.Kind),
		Name:     s.Name,
		Count:    s.Count,
		Size:     SizeMessage(s.Size),
		Runtime:  uint64(s.Runtime / time.Millisecond),
		Once:     s.Once,
		Input:    s.Input,
		Deadline: uint64(s.Deadline / time.Millisecond),
		Labels:   s.Labels,
		Floor:    s.Floor,
	}
}

// RowFromMessage converts a row of the table from its message.
func RowFromMessage(m *v1.Row) team.Row {
	return team.Row{Name: m.GetTeam(), Weight: m.GetWeight(), Share: m.GetShare(), Limit: SizeFromMessage(m.GetLimit()), Queue: m.GetQueue()}
}

// RowMessage converts a row of the table to its message.
func RowMessage(r team.Row) *v1.Row {
	return &v1.Row{Team: r.Name, Weight: r.Weight, Share: r.Share, Limit: SizeMessage(r.Limit), Queue: r.Queue}
}
