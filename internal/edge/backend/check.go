package backend

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/edge/caller"
)

const (
	// MaxReports bounds the attempt reports in one Sync.
	MaxReports = 4096
	// MaxCheckpointSize bounds the size of a checkpoint handle in bytes.
	MaxCheckpointSize = 4096
)

// checkAnnounce returns a *code.Error if the request is malformed or exceeds a limit.
func checkAnnounce(m *v1.AnnounceRequest) error {
	if err := checkServer(m.GetServer()); err != nil {
		return err
	}
	if err := caller.CheckName("availability zone", m.GetZone()); err != nil {
		return err
	}
	if err := caller.CheckName("rack", m.GetRack()); err != nil {
		return err
	}
	c := m.GetCapacity()
	switch {
	case m.GetNonce() == 0:
		return code.New(code.Malformed, "the nonce must not be 0")
	case !caller.IsValidSize(c) || c.GetCpu() == 0 || c.GetMemory() == 0 || c.GetSlots() == 0:
		return code.New(code.Malformed, "the capacity must contain CPU, memory and slots above 0 and no negative or oversized value")
	}
	return caller.CheckLabels(m.GetLabels())
}

// checkSync returns a *code.Error if the request is malformed or exceeds a limit.
func checkSync(m *v1.SyncRequest) error {
	if err := checkServer(m.GetServer()); err != nil {
		return err
	}
	if len(m.GetReports()) > MaxReports {
		return code.New(code.TooLarge, "the request has %d reports, at most %d are allowed", len(m.GetReports()), MaxReports)
	}
	if m.GetIncarnation() == 0 || m.GetNumber() == 0 {
		return code.New(code.Malformed, "incarnation %d and number %d must be 1 or more", m.GetIncarnation(), m.GetNumber())
	}
	for _, r := range m.GetReports() {
		if err := checkReport(r); err != nil {
			return err
		}
	}
	return nil
}

// checkReport returns a *code.Error if the report is malformed or exceeds a limit.
func checkReport(r *v1.Report) error {
	a := r.GetAttempt()
	switch {
	case a.GetNumber() == 0:
		return code.New(code.Malformed, "a report has no attempt number")
	case r.GetPhase() < v1.Phase_PHASE_HELD || r.GetPhase() > v1.Phase_PHASE_SAVED:
		return code.New(code.Malformed, "a report has the unknown phase %d", r.GetPhase())
	case r.GetPhase() != v1.Phase_PHASE_ENDED && (len(r.GetChunks()) > 0 || r.GetExit() != 0):
		return code.New(code.Malformed, "a report in phase %d has an answer or an exit code, which only an ended task has", r.GetPhase())
	case len(r.GetCheckpoint()) > MaxCheckpointSize:
		return code.New(code.TooLarge, "the checkpoint handle has %d bytes, at most %d are allowed", len(r.GetCheckpoint()), MaxCheckpointSize)
	}
	for _, c := range r.GetChunks() {
		if len(c.GetData()) > answer.ChunkSize || c.GetTotal() > answer.MaxTaskAnswer || c.GetNumber() >= c.GetCount() {
			return code.New(code.TooLarge, "invalid chunk: number %d of %d, %d of %d bytes", c.GetNumber(), c.GetCount(), len(c.GetData()), c.GetTotal())
		}
	}
	return nil
}

func checkServer(name string) error { return caller.CheckName("server name", name) }
