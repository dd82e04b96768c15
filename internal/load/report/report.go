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
	Info RunInfo `json:"measured"`
	// Violations counts what must never happen; all are 0 for a good run.
	Violations Violations            `json:"promises"`
	Counts     Counts                `json:"counts"`
	Kinds      map[string]KindReport `json:"kinds"`
	// Refusals counts result codes of jobs that were not accepted.
	Refusals map[string]int `json:"refusals"`
	Seconds  []SecondCounts `json:"seconds"`
}

// RunInfo names what was measured.
type RunInfo struct {
	// Revision is that of the code of this tool.
	Revision string `json:"revision"`
	// TableRevisions is the revision of the cell's table before and after; 0 when no
	// operator's key was given.
	TableRevisions [2]uint64 `json:"table"`
	StartedAt      time.Time `json:"began"`
	Targets        []string  `json:"target"`
	// SettingsDigests are digests of the settings files named.
	SettingsDigests map[string]string `json:"settings"`
	Note            string            `json:"note,omitempty"`

	Rate         float64            `json:"rate"`
	Duration     string             `json:"duration"`
	Seed         uint64             `json:"seed"`
	Mix          map[string]float64 `json:"mix"`
	OnceFraction float64            `json:"once"`
	AnswerBytes  int                `json:"answer"`
	Deadline     string             `json:"deadline"`
	Servers      int                `json:"servers"`
}

// Violations counts broken ones.
type Violations struct {
	// LostJobs jobs were accepted and have no outcome at the end of the tail.
	LostJobs int `json:"lost"`
	// DamagedAnswers answers are not whole or not the job's own.
	DamagedAnswers int `json:"damaged"`
	// RepeatedOnceJobs jobs may run at most once and ran more often.
	RepeatedOnceJobs int `json:"doubled"`
	// FalseNotRun refusals said not run of something that ran.
	FalseNotRun int `json:"false"`
	// UnfinishedDone jobs are done without a run to the end of every task.
	UnfinishedDone int `json:"unran"`
	// ServerFaults are what the backend servers saw: a task in two places.
	ServerFaults []string `json:"faults"`
}

// None tells whether every promise that was checked held.
func (p Violations) None() bool {
	return p.LostJobs+p.DamagedAnswers+p.RepeatedOnceJobs+p.FalseNotRun+p.UnfinishedDone+len(p.ServerFaults) == 0
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
	// RepeatedTasks tasks ran to their end more than once, as they may.
	RepeatedTasks int `json:"repeated"`
}

// KindReport holds the waits of a kind of job, from the time of its arrival.
type KindReport struct {
	Jobs int `json:"jobs"`
	// Accept is until the acceptance, Start until the last task began, Answer
	// until the whole answer; Lag is how late the tool itself sent.
	Accept WaitStats `json:"accept"`
	Start  WaitStats `json:"start"`
	Answer WaitStats `json:"answer"`
	Lag    WaitStats `json:"lag"`
}

// WaitStats are percentiles in milliseconds.
type WaitStats struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// SecondCounts is one second of the run.
type SecondCounts struct {
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

func waits(h *hdrhistogram.Histogram) WaitStats {
	ms := func(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }
	if h.TotalCount() == 0 {
		return WaitStats{}
	}
	return WaitStats{
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

// Summarize sums a run up. Record is nil when the backend servers are not the tool's
// own; begin is when the run began.
func Summarize(m RunInfo, begin time.Time, seen []drive.JobResult, record *work.Record) Result {
	s := &summing{begin: begin, record: record, hist: map[job.Kind]*histograms{}}
	s.Info, s.Kinds, s.Refusals = m, map[string]KindReport{}, map[string]int{}
	s.Violations.ServerFaults = []string{}
	s.Counts.Planned = len(seen)
	for i := range seen {
		if seen[i].SentAt > 0 {
			s.add(&seen[i])
		}
	}
	for _, k := range mix.Kinds {
		if h := s.hist[k]; h != nil {
			s.Kinds[k.String()] = KindReport{Jobs: h.jobs, Accept: waits(h.accept), Start: waits(h.start), Answer: waits(h.answer), Lag: waits(h.lag)}
		}
	}
	return s.Result
}

func (s *summing) add(one *drive.JobResult) {
	h := s.hist[one.Job.Kind]
	if h == nil {
		h = newHistograms()
		s.hist[one.Job.Kind] = h
	}
	h.jobs++
	s.Counts.Sent++
	s.second(one.SentAt).Sent++
	note(h.lag, one.SentAt-one.Job.ArrivesAt)
	if one.AcceptedAt > 0 {
		s.Counts.Accepted++
		note(h.accept, one.AcceptedAt-one.Job.ArrivesAt)
	}
	if one.AnsweredAt > 0 && one.Outcome == v1.Outcome_OUTCOME_DONE {
		s.second(one.AnsweredAt).Answered++
		if one.Job.Kind != job.Service {
			note(h.answer, one.AnsweredAt-one.Job.ArrivesAt)
		}
	}
	s.count(one)
	s.compare(one, h)
}

func (s *summing) second(at time.Duration) *SecondCounts {
	n := int(at / time.Second)
	for len(s.Seconds) <= n {
		s.Seconds = append(s.Seconds, SecondCounts{})
	}
	return &s.Seconds[n]
}

func (s *summing) count(one *drive.JobResult) {
	if one.AnswerDamaged {
		s.Violations.DamagedAnswers++
	}
	switch {
	case one.AcceptedAt == 0 && one.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		s.Counts.Unknown++
	case one.AcceptedAt == 0 && link(one.Code):
		s.Counts.Unanswered++
	case one.AcceptedAt == 0:
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
	if one.AcceptedAt > 0 && !caller.IsFinal(one.Outcome) {
		s.Violations.LostJobs++
	}
}

func link(c code.Code) bool {
	return c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown
}

// compare holds what the caller was told against what really ran.
func (s *summing) compare(one *drive.JobResult, h *histograms) {
	if s.record == nil {
		return
	}
	runs := s.record.JobRuns(one.Job.Spec.GetId(), one.Job.Spec.GetCount())
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
			s.Counts.RepeatedTasks++
		}
		if r.FirstStart.After(last) {
			last = r.FirstStart
		}
		doubled = doubled || one.Job.Spec.GetOnce() && r.Started > 1
	}
	if doubled {
		s.Violations.RepeatedOnceJobs++
	}
	if begun > 0 && one.Outcome == v1.Outcome_OUTCOME_NOT_RUN {
		s.Violations.FalseNotRun++
	}
	if ended < len(runs) && one.Outcome == v1.Outcome_OUTCOME_DONE && one.Code == code.OK {
		s.Violations.UnfinishedDone++
	}
	if begun == len(runs) {
		note(h.start, last.Sub(s.begin)-one.Job.ArrivesAt)
	}
}

// BuildRevision returns the version-control revision that the program was built from.
func BuildRevision() string {
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
