// Package report summarizes a load run: job counts, violated guarantees and waits.
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

// Result is the summary of a load run. Its JSON form is meant for comparing runs.
type Result struct {
	Info RunInfo `json:"measured"`
	// Violations counts violated guarantees. All are 0 in a correct run.
	Violations Violations            `json:"promises"`
	Counts     Counts                `json:"counts"`
	Kinds      map[string]KindReport `json:"kinds"`
	// Refusals counts the jobs that were not accepted, by result code.
	Refusals map[string]int `json:"refusals"`
	Seconds  []SecondCounts `json:"seconds"`
}

// RunInfo describes the load run and the cell under load.
type RunInfo struct {
	// Revision is the source revision of the load tool.
	Revision string `json:"revision"`
	// TableRevisions holds the revision of the cell's team table before and after the
	// run. Both are 0 if no operator's key was given.
	TableRevisions [2]uint64 `json:"table"`
	StartedAt      time.Time `json:"began"`
	Targets        []string  `json:"target"`
	// SettingsDigests holds the digest of each settings file given on the command line.
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

// Violations counts violated guarantees.
type Violations struct {
	// LostJobs counts jobs that were accepted but had no outcome at the end of the run.
	LostJobs int `json:"lost"`
	// DamagedAnswers counts answers that were incomplete or belonged to another job.
	DamagedAnswers int `json:"damaged"`
	// RepeatedOnceJobs counts at-most-once jobs that had a task started more than once.
	RepeatedOnceJobs int `json:"doubled"`
	// FalseNotRun counts jobs that were reported as not run although a task started.
	FalseNotRun int `json:"false"`
	// UnfinishedDone counts jobs that were reported as done although a task did not run
	// to its end.
	UnfinishedDone int `json:"unran"`
	// ServerFaults lists the faults that backend servers detected, such as a task in two
	// places.
	ServerFaults []string `json:"faults"`
}

// None reports whether no checked guarantee was violated.
func (v Violations) None() bool {
	return v.LostJobs+v.DamagedAnswers+v.RepeatedOnceJobs+v.FalseNotRun+v.UnfinishedDone+len(v.ServerFaults) == 0
}

// Counts holds the numbers of jobs by outcome.
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
	// Unanswered counts submissions without an answer. They may or may not be accepted.
	Unanswered int `json:"unanswered"`
	// RepeatedTasks counts tasks that ran to their end more than once, which is allowed.
	RepeatedTasks int `json:"repeated"`
}

// KindReport holds the waits of the jobs of one kind, measured from their arrival.
type KindReport struct {
	Jobs int `json:"jobs"`
	// Accept is the wait until the job is accepted, Start the wait until its last task
	// starts, and Answer the wait until the answer is complete. Lag is the time from the
	// arrival until the load tool sends the job.
	Accept WaitStats `json:"accept"`
	Start  WaitStats `json:"start"`
	Answer WaitStats `json:"answer"`
	Lag    WaitStats `json:"lag"`
}

// WaitStats holds statistics of waits in milliseconds.
type WaitStats struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// SecondCounts holds the counts of one second of the run.
type SecondCounts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
}

// The histograms record microseconds from minMicros to maxMicros (one hour).
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// kindHistograms holds the histograms of one kind of job.
type kindHistograms struct {
	jobs                       int
	accept, start, answer, lag *hdrhistogram.Histogram
}

func newHistograms() *kindHistograms {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &kindHistograms{accept: newHistogram(), start: newHistogram(), answer: newHistogram(), lag: newHistogram()}
}

// recordWait records d, limited to the bounds of the histogram.
func recordWait(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail: the value is within the bounds
}

func waitStats(h *hdrhistogram.Histogram) WaitStats {
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

// builder builds a Result from the job results.
type builder struct {
	Result
	start time.Time
	// recorder is nil if the backend servers do not belong to the load tool.
	recorder   *work.Recorder
	histograms map[job.Kind]*kindHistograms
}

// Summarize builds the result of a run that began at start. If the backend servers do
// not belong to the load tool, recorder is nil.
func Summarize(info RunInfo, start time.Time, results []drive.JobResult, recorder *work.Recorder) Result {
	s := &builder{start: start, recorder: recorder, histograms: map[job.Kind]*kindHistograms{}}
	s.Info, s.Kinds, s.Refusals = info, map[string]KindReport{}, map[string]int{}
	s.Violations.ServerFaults = []string{}
	s.Counts.Planned = len(results)
	for i := range results {
		if results[i].SentAt > 0 {
			s.addResult(&results[i])
		}
	}
	for _, k := range mix.Kinds {
		if h := s.histograms[k]; h != nil {
			s.Kinds[k.String()] = KindReport{Jobs: h.jobs, Accept: waitStats(h.accept), Start: waitStats(h.start), Answer: waitStats(h.answer), Lag: waitStats(h.lag)}
		}
	}
	return s.Result
}

func (s *builder) addResult(result *drive.JobResult) {
	histograms := s.histograms[result.Job.Kind]
	if histograms == nil {
		histograms = newHistograms()
		s.histograms[result.Job.Kind] = histograms
	}
	histograms.jobs++
	s.Counts.Sent++
	s.countsAt(result.SentAt).Sent++
	recordWait(histograms.lag, result.SentAt-result.Job.ArrivesAt)
	if result.AcceptedAt > 0 {
		s.Counts.Accepted++
		recordWait(histograms.accept, result.AcceptedAt-result.Job.ArrivesAt)
	}
	if result.AnsweredAt > 0 && result.Outcome == v1.Outcome_OUTCOME_DONE {
		s.countsAt(result.AnsweredAt).Answered++
		if result.Job.Kind != job.Service {
			recordWait(histograms.answer, result.AnsweredAt-result.Job.ArrivesAt)
		}
	}
	s.countOutcome(result)
	s.checkAttempts(result, histograms)
}

func (s *builder) countsAt(at time.Duration) *SecondCounts {
	n := int(at / time.Second)
	for len(s.Seconds) <= n {
		s.Seconds = append(s.Seconds, SecondCounts{})
	}
	return &s.Seconds[n]
}

func (s *builder) countOutcome(result *drive.JobResult) {
	if result.AnswerDamaged {
		s.Violations.DamagedAnswers++
	}
	switch {
	case result.AcceptedAt == 0 && result.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		s.Counts.Unknown++
	case result.AcceptedAt == 0 && isUnanswered(result.Code):
		s.Counts.Unanswered++
	case result.AcceptedAt == 0:
		s.Counts.Refused++
		s.Refusals[result.Code.String()]++
	case result.Outcome == v1.Outcome_OUTCOME_DONE && result.Code == code.OK:
		s.Counts.Done++
	case result.Outcome == v1.Outcome_OUTCOME_DONE && result.Code == code.Stopped:
		s.Counts.Stopped++
	case result.Outcome == v1.Outcome_OUTCOME_DONE:
		s.Counts.Failed++
	case result.Outcome == v1.Outcome_OUTCOME_NOT_RUN:
		s.Counts.NotRun++
	case result.Outcome == v1.Outcome_OUTCOME_UNKNOWN:
		s.Counts.Unknown++
	}
	if result.AcceptedAt > 0 && !caller.IsFinal(result.Outcome) {
		s.Violations.LostJobs++
	}
}

// isUnanswered reports whether the code means that the submission got no answer.
func isUnanswered(c code.Code) bool {
	return c == code.LeaderTimeout || c == code.NoLeader || c == code.ShuttingDown
}

// checkAttempts compares the outcome that the caller got with the recorded attempts.
func (s *builder) checkAttempts(result *drive.JobResult, histograms *kindHistograms) {
	if s.recorder == nil {
		return
	}
	attempts := s.recorder.JobAttempts(result.Job.Spec.GetId(), result.Job.Spec.GetCount())
	started, ended, repeated := 0, 0, false
	var lastStart time.Time
	for _, r := range attempts {
		if r.Started > 0 {
			started++
		}
		if r.Ended > 0 {
			ended++
		}
		if r.Ended > 1 {
			s.Counts.RepeatedTasks++
		}
		if r.FirstStart.After(lastStart) {
			lastStart = r.FirstStart
		}
		repeated = repeated || result.Job.Spec.GetOnce() && r.Started > 1
	}
	if repeated {
		s.Violations.RepeatedOnceJobs++
	}
	if started > 0 && result.Outcome == v1.Outcome_OUTCOME_NOT_RUN {
		s.Violations.FalseNotRun++
	}
	if ended < len(attempts) && result.Outcome == v1.Outcome_OUTCOME_DONE && result.Code == code.OK {
		s.Violations.UnfinishedDone++
	}
	if started == len(attempts) {
		recordWait(histograms.start, lastStart.Sub(s.start)-result.Job.ArrivesAt)
	}
}

// BuildRevision returns the version-control revision from which the program was built.
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
