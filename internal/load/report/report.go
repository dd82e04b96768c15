// Package report sums up a load run: counts, broken promises and waits.
package report

import (
	"runtime/debug"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/load/drive"
	"gypsumreel/internal/load/mix"
	"gypsumreel/internal/load/work"
)

// Result is the outcome of a run; its JSON is what comparisons read.
type Result struct {
	Measured Measured `json:"measured"`
	// Promises counts what must never happen; all are 0 for a good run.
	Promises Promises        `json:"promises"`
	Counts   Counts          `json:"counts"`
	Kinds    map[string]Kind `json:"kinds"`
	// Refusals counts result codes of jobs that were not accepted.
	Refusals map[string]int `json:"refusals"`
	Seconds  []Second       `json:"seconds"`
}

// Measured names what was measured.
type Measured struct {
	// Revision is that of the code of this tool.
	Revision string `json:"revision"`
	// Table is the revision of the cell's table before and after; 0 when no
	// operator's key was given.
	Table  [2]uint64 `json:"table"`
	Began  time.Time `json:"began"`
	Target []string  `json:"target"`
	// Settings are digests of the settings files named.
	Settings map[string]string `json:"settings"`
	Note     string            `json:"note,omitempty"`

	Rate     float64            `json:"rate"`
	Duration string             `json:"duration"`
	Seed     uint64             `json:"seed"`
	Mix      map[string]float64 `json:"mix"`
	Once     float64            `json:"once"`
	Answer   int                `json:"answer"`
	Deadline string             `json:"deadline"`
	Servers  int                `json:"servers"`
}

// Promises counts broken ones.
type Promises struct {
	// Lost jobs were accepted and have no outcome at the end of the tail.
	Lost int `json:"lost"`
	// Damaged answers are not whole or not the job's own.
	Damaged int `json:"damaged"`
	// Doubled jobs may run at most once and ran more often.
	Doubled int `json:"doubled"`
	// False refusals said not run of something that ran.
	False int `json:"false"`
	// Unran jobs are done without a run to the end of every task.
	Unran int `json:"unran"`
	// Faults are what the backend servers saw: a task in two places.
	Faults []string `json:"faults"`
}

// Kept tells whether every promise that was checked held.
func (p Promises) Kept() bool {
	return p.Lost+p.Damaged+p.Doubled+p.False+p.Unran+len(p.Faults) == 0
}

// Counts are jobs.
type Counts struct {
	Planned  int `json:"planned"`
	Sent     int `json:"sent"`
	Accepted int `json:"accepted"`
	Done     int `json:"done"`
	Failed   int `json:"failed"`
	Stopped  int `json:"stopped"`
	Refused  int `json:"refused"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	// Unanswered submissions have no answer; they may or may not be accepted.
	Unanswered int `json:"unanswered"`
	// Repeated tasks ran to their end more than once, as they may.
	Repeated int `json:"repeated"`
}

// Kind holds the waits of a kind of job, from the time of its arrival.
type Kind struct {
	Jobs int `json:"jobs"`
	// Accept is until the acceptance, Start until the last task began, Answer
	// until the whole answer; Lag is how late the tool itself sent.
	Accept Waits `json:"accept"`
	Start  Waits `json:"start"`
	Answer Waits `json:"answer"`
	Lag    Waits `json:"lag"`
}

// Waits are percentiles in milliseconds.
type Waits struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Second is one second of the run.
type Second struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
}

// Bounds of the histograms, in microseconds.
const (
	shortest = 1
	longest  = int64(time.Hour / time.Microsecond)
	digits   = 3
)

// histograms are those of one kind.
type histograms struct {
	jobs                       int
	accept, start, answer, lag *hdrhistogram.Histogram
}

func newHistograms() *histograms {
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, digits) }
	return &histograms{accept: fresh(), start: fresh(), answer: fresh(), lag: fresh()}
}

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), shortest), longest)) // within the bounds: never fails
}

func waits(h *hdrhistogram.Histogram) Waits {
	ms := func(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }
	if h.TotalCount() == 0 {
		return Waits{}
	}
	return Waits{
		Count: h.TotalCount(), Mean: h.Mean() / float64(time.Millisecond/time.Microsecond),
		P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// summing is a report in the making.
type summing struct {
	Result
	begin time.Time
	// record is nil when the backend servers are not the tool's own.
	record *work.Record
	hist   map[job.Kind]*histograms
}

// Sum sums a run up. Record is nil when the backend servers are not the tool's
// own; begin is when the run began.
func Sum(m Measured, begin time.Time, seen []drive.Seen, record *work.Record) Result {
	s := &summing{begin: begin, record: record, hist: map[job.Kind]*histograms{}}
	s.Measured, s.Kinds, s.Refusals = m, map[string]Kind{}, map[string]int{}
	s.Promises.Faults = []string{}
	s.Counts.Planned = len(seen)
	for i := range seen {
		if seen[i].Sent > 0 {
			s.add(&seen[i])
		}
	}
	for _, k := range mix.Kinds {
		if h := s.hist[k]; h != nil {
			s.Kinds[k.String()] = Kind{Jobs: h.jobs, Accept: waits(h.accept), Start: waits(h.start), Answer: waits(h.answer), Lag: waits(h.lag)}
		}
	}
	return s.Result
}

func (s *summing) add(one *drive.Seen) {
	h := s.hist[one.Job.Kind]
	if h == nil {
		h = newHistograms()
		s.hist[one.Job.Kind] = h
	}
	h.jobs++
	s.Counts.Sent++
	s.second(one.Sent).Sent++
	note(h.lag, one.Sent-one.Job.At)
	if one.Accepted > 0 {
		s.Counts.Accepted++
		note(h.accept, one.Accepted-one.Job.At)
	}
	if one.Answered > 0 && one.Outcome == v1.Outcome_OUTCOME_DONE {
		s.second(one.Answered).Answered++
		if one.Job.Kind != job.Service {
			note(h.answer, one.Answered-one.Job.At)
		}
	}
	s.count(one)
	s.compare(one, h)
}

func (s *summing) second(at time.Duration) *Second {
	n := int(at / time.Second)
	for len(s.Seconds) <= n {
		s.Seconds = append(s.Seconds, Second{})
	}
	return &s.Seconds[n]
}

func (s *summing) count(one *drive.Seen) {
	if one.Damaged {
		s.Promises.Damaged++
	}
	switch {
	case one.Accepted == 0 && one.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		s.Counts.Unknown++
	case one.Accepted == 0 && link(one.Code):
		s.Counts.Unanswered++
	case one.Accepted == 0:
		s.Counts.Refused++
		s.Refusals[one.Code.String()]++
	case one.Outcome == v1.Outcome_OUTCOME_DONE && one.Code == code.OK:
		s.Counts.Done++
	case one.Outcome == v1.Outcome_OUTCOME_DONE && one.Code == code.Stopped:
		s.Counts.Stopped++
	case one.Outcome == v1.Outcome_OUTCOME_DONE:
		s.Counts.Failed++
	case one.Outcome == v1.Outcome_OUTCOME_NOT_RUN:
		s.Counts.NotRun++
	case one.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		s.Counts.Unknown++
	}
	if one.Accepted > 0 && !caller.IsFinal(one.Outcome) {
		s.Promises.Lost++
	}
}

func link(c code.Code) bool {
	return c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown
}

// compare holds what the caller was told against what really ran.
func (s *summing) compare(one *drive.Seen, h *histograms) {
	if s.record == nil {
		return
	}
	runs := s.record.Of(one.Job.Spec.GetId(), one.Job.Spec.GetCount())
	begun, ended, doubled := 0, 0, false
	var last time.Time
	for _, r := range runs {
		if r.Started > 0 {
			begun++
		}
		if r.Ended > 0 {
			ended++
		}
		if r.Ended > 1 {
			s.Counts.Repeated++
		}
		if r.First.After(last) {
			last = r.First
		}
		doubled = doubled || one.Job.Spec.GetOnce() && r.Started > 1
	}
	if doubled {
		s.Promises.Doubled++
	}
	if begun > 0 && one.Outcome == v1.Outcome_OUTCOME_NOT_RUN {
		s.Promises.False++
	}
	if ended < len(runs) && one.Outcome == v1.Outcome_OUTCOME_DONE && one.Code == code.OK {
		s.Promises.Unran++
	}
	if begun == len(runs) {
		note(h.start, last.Sub(s.begin)-one.Job.At)
	}
}

// Revision returns the version-control revision that the program was built from.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changed"
		}
	}
	return revision + changed
}
