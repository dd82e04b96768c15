// Package command encodes and decodes the commands that the control group replicates.
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

// deterministicMarshal encodes the same message to the same bytes on every replica.
var deterministicMarshal = proto.MarshalOptions{Deterministic: true}

// Encode returns the bytes of a message. Equal messages give equal bytes. It fails if a string of
// the message is not valid UTF-8.
func Encode(m proto.Message) ([]byte, error) {
	b, err := deterministicMarshal.Marshal(m)
	return b, errors.Wrap(err, "encode")
}

// Decode decodes a command from a log entry.
func Decode(data []byte) (*record.Command, error) {
	c := &record.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	return c, nil
}

// SizeFromMessage converts a size from its message. A nil message gives the zero size.
func SizeFromMessage(s *v1.Size) capacity.Size {
	return capacity.Size{CPU: s.GetCpu(), Memory: s.GetMemory(), Accel: s.GetAccel(), Slots: s.GetSlots()}
}

// SizeMessage converts a size to its message.
func SizeMessage(s capacity.Size) *v1.Size {
	return &v1.Size{Cpu: s.CPU, Memory: s.Memory, Accel: s.Accel, Slots: s.Slots}
}

// SpecFromMessage converts a job specification from its message.
func SpecFromMessage(teamName string, m *v1.Spec) *job.Spec {
	return &job.Spec{
		ID:               m.GetId(),
		Team:             teamName,
		Kind:             job.Kind(m.GetKind()),
		Name:             m.GetName(),
		Count:            m.GetCount(),
		Size:             SizeFromMessage(m.GetSize()),
		EstimatedRuntime: time.Duration(m.GetRuntime()) * time.Millisecond,
		AtMostOnce:       m.GetOnce(),
		Input:            m.GetInput(),
		PlacementTimeout: time.Duration(m.GetDeadline()) * time.Millisecond,
		Labels:           m.GetLabels(),
		MinRunningTasks:  m.GetFloor(),
	}
}

// SpecMessage converts a job specification to its message.
func SpecMessage(s *job.Spec) *v1.Spec {
	return &v1.Spec{
		Id:       s.ID,
		Kind:     v1.Kind(s.Kind),
		Name:     s.Name,
		Count:    s.Count,
		Size:     SizeMessage(s.Size),
		Runtime:  uint64(s.EstimatedRuntime / time.Millisecond),
		Once:     s.AtMostOnce,
		Input:    s.Input,
		Deadline: uint64(s.PlacementTimeout / time.Millisecond),
		Labels:   s.Labels,
		Floor:    s.MinRunningTasks,
	}
}

// RowFromMessage converts a row of the table from its message.
func RowFromMessage(m *v1.Row) team.Row {
	return team.Row{Name: m.GetTeam(), Weight: m.GetWeight(), GuaranteedShare: m.GetShare(), Limit: SizeFromMessage(m.GetLimit()), MaxWaitingJobs: m.GetQueue()}
}

// RowMessage converts a row of the table to its message.
func RowMessage(r team.Row) *v1.Row {
	return &v1.Row{Team: r.Name, Weight: r.Weight, Share: r.GuaranteedShare, Limit: SizeMessage(r.Limit), Queue: r.MaxWaitingJobs}
}
