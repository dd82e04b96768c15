package flow

import (
	"google.golang.org/protobuf/proto"

	v1 "gypsumreel/internal/api/v1"
)

// Estimated memory of a flow that has not ended, beside the texts that it holds.
const (
	// stepBytes is for a step of a specification, and of a turn.
	stepBytes = 256
	// taskBytes is for a task with its run.
	taskBytes = 256
)

// SpecBytes returns the estimated memory of a specification.
func SpecBytes(s *v1.FlowSpec) int64 {
	return int64(proto.Size(s) + stepBytes*len(s.GetSteps()))
}

// TurnBytes returns the estimated memory of one turn of a flow.
func TurnBytes(s *v1.FlowSpec) int64 {
	n := int64(0)
	for _, step := range s.GetSteps() {
		n += stepBytes + taskBytes*int64(step.GetCount())
	}
	return n
}
