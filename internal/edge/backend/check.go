package backend

import (
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/edge/caller"
)

const (
	// MaxReports bounds the attempts in one Sync.
	MaxReports = 4096
	// MaxCheckpointSize bounds the handle of a checkpoint in bytes.
	MaxCheckpointSize = 4096
)

// checkAnnounce returns a *code.Error when the announcement breaks a stated bound.
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
		return code.New(code.Malformed, "the nonce is missing")
	case !caller.IsValidSize(c) || c.GetCpu() == 0 || c.GetMemory() == 0 || c.GetSlots() == 0:
		return code.New(code.Malformed, "the capacity needs processor time, memory and slots")
	}
	return caller.CheckLabels(m.GetLabels())
}

// checkSync returns a *code.Error when the sync breaks a stated bound.
func checkSync(m *v1.SyncRequest) error {
	if err := checkServer(m.GetServer()); err != nil {
		return err
	}
	if len(m.GetReports()) > MaxReports {
		return code.New(code.TooLarge, "up to %d reports", MaxReports)
	}
	if m.GetIncarnation() == 0 || m.GetNumber() == 0 {
		return code.New(code.Malformed, "incarnation and number start at 1")
	}
	for _, r := range m.GetReports() {
		if err := checkReport(r); err != nil {
			return err
		}
	}
	return nil
}

func checkReport(r *v1.Report) error {
	a := r.GetAttempt()
	switch {
	case a.GetNumber() == 0:
		return code.New(code.Malformed, "a report without an attempt")
	case r.GetPhase() < v1.Phase_PHASE_HELD || r.GetPhase() > v1.Phase_PHASE_SAVED:
		return code.New(code.Malformed, "phase %d", r.GetPhase())
	case r.GetPhase() != v1.Phase_PHASE_ENDED && (len(r.GetChunks()) > 0 || r.GetExit() != 0):
		return code.New(code.Malformed, "an answer from a task that has not ended")
	case len(r.GetCheckpoint()) > MaxCheckpointSize:
		return code.New(code.TooLarge, "the checkpoint's handle has up to %d bytes", MaxCheckpointSize)
	}
	for _, c := range r.GetChunks() {
		if len(c.GetData()) > answer.ChunkSize || c.GetTotal() > answer.MaxTaskAnswer || c.GetNumber() >= c.GetCount() {
			return code.New(code.TooLarge, "chunk %d of %d, %d bytes of %d", c.GetNumber(), c.GetCount(), len(c.GetData()), c.GetTotal())
		}
	}
	return nil
}

func checkServer(name string) error { return caller.CheckName("server's name", name) }
