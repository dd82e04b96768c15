// Package reports passes the reports of backend servers that reach a replica to the leader, many
// in one message. A report that changes nothing needs no leader; see Dispatcher.KnowsReport.
package reports

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/control/dispatch"
)

const (
	// gatherTime is how long the first report of a batch waits for others.
	gatherTime = 20 * time.Millisecond
	// maxBatch limits the reports in a batch.
	maxBatch = 256
	// sendTimeout is the timeout of a batch.
	sendTimeout = 800 * time.Millisecond
)

// errNotAccepted is returned for a report without an answer of the leader. The server sends it
// again.
var errNotAccepted = code.New(code.NoLeader, "no leader has accepted the report")

// Forwarder passes reports to the leader. The exported fields are set before use.
type Forwarder struct {
	Cell       string
	HTTPClient *http.Client
	// Leader returns the address of the leader for calls of other processes, or an empty string.
	Leader func() string

	mu      sync.Mutex
	waiting []*waitingReport
}

// waitingReport is a report that waits for the answer of the leader.
type waitingReport struct {
	report     dispatch.Report
	receivedAt time.Time
	answer     chan *code.Error
}

// Forward passes a report to the leader and returns its answer.
func (f *Forwarder) Forward(ctx context.Context, r dispatch.Report) *code.Error {
	waiting := &waitingReport{report: r, receivedAt: time.Now(), answer: make(chan *code.Error, 1)}
	f.mu.Lock()
	f.waiting = append(f.waiting, waiting)
	switch len(f.waiting) {
	case 1:
		time.AfterFunc(gatherTime, f.sendWaiting)
	case maxBatch:
		go f.sendWaiting()
	}
	f.mu.Unlock()
	select {
	case err := <-waiting.answer:
		return err
	case <-ctx.Done():
		return errNotAccepted
	}
}

// sendWaiting sends all waiting reports.
func (f *Forwarder) sendWaiting() {
	f.mu.Lock()
	batch := f.waiting
	f.waiting = nil
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	batch, message := f.encode(batch)
	codes := f.send(message)
	for i, waiting := range batch {
		switch {
		case i >= len(codes):
			waiting.answer <- errNotAccepted
		case codes[i] == uint32(code.OK):
			waiting.answer <- nil
		default:
			waiting.answer <- code.New(code.Code(codes[i]), "answer of the leader")
		}
	}
}

// encode returns the reports of a batch that can be encoded, and their message. The others are
// answered.
func (f *Forwarder) encode(batch []*waitingReport) (sound []*waitingReport, message *inner.ReportBatch) {
	message = &inner.ReportBatch{Cell: f.Cell}
	for _, waiting := range batch {
		r := waiting.report
		encoded, err := proto.Marshal(r.FlowServer)
		if err != nil {
			waiting.answer <- code.New(code.Malformed, "%v", err)
			continue
		}
		sound = append(sound, waiting)
		message.Reports = append(message.Reports, &inner.ServerReport{
			Server: encoded, Number: r.Number, Clock: r.Clock, Remaining: r.Remaining, Age: uint64(time.Since(waiting.receivedAt) / time.Millisecond),
		})
	}
	return sound, message
}

// send sends a batch and returns the results, or nil if there is no answer.
func (f *Forwarder) send(message *inner.ReportBatch) []uint32 {
	leader := f.Leader()
	if leader == "" || len(message.GetReports()) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	reply, err := inner.NewFlowsProtobufClient("http://"+leader, f.HTTPClient).Report(ctx, message)
	if err != nil || len(reply.GetCodes()) != len(message.GetReports()) {
		return nil
	}
	return reply.GetCodes()
}
