package reports_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
	"gypsumreel/internal/control/reports"
)

// leader is a leader that accepts all reports.
type leader struct{ inner.Flows }

func (leader) Report(_ context.Context, batch *inner.ReportBatch) (*inner.ReportBatchReply, error) {
	if len(batch.GetReports()) == 0 {
		return nil, twirp.InvalidArgumentError("reports", "none")
	}
	return &inner.ReportBatchReply{Codes: make([]uint32, len(batch.GetReports()))}, nil
}

// Guards against one report that cannot be encoded and takes the others of its batch with it.
func TestOddReportLeavesTheOthersOfItsBatch(t *testing.T) {
	s := httptest.NewServer(inner.NewFlowsServer(leader{}))
	defer s.Close()
	f := &reports.Forwarder{Cell: "cell", HTTPClient: s.Client(), Leader: func() string { return strings.TrimPrefix(s.URL, "http://") }}
	ids := []string{"i-1", "i-7f\xff\xfe", "i-2"}
	results := make([]*code.Error, len(ids))
	var forwards sync.WaitGroup
	for i, id := range ids {
		forwards.Go(func() {
			results[i] = f.Forward(t.Context(), dispatch.Report{FlowServer: &record.FlowServer{Id: id}})
		})
	}
	forwards.Wait()
	if results[0] != nil || results[2] != nil {
		t.Errorf("the sound reports: %v and %v", results[0], results[2])
	}
	if results[1] == nil || results[1].Code != code.Malformed {
		t.Errorf("the odd report: %v, want a refusal", results[1])
	}
}
