package dispatch

import (
	"context"
	"time"

	"gypsumreel/internal/domain/flow"
	"gypsumreel/internal/policy/recovery"
	"gypsumreel/internal/policy/shortlease"
	"gypsumreel/internal/policy/steps"
)

// lead is what is kept only while this replica leads.
type lead struct {
	term    uint64
	elected time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	calls   *calls

	sessions map[string]*session
	// sorted are the sessions by id: a plan goes over all of them.
	sorted []*session
	// round is the room for going over all of them.
	round []*session
	// intake are the servers that were not asked yet what they hold.
	intake recovery.Queue[*session]
	// relayed counts the sessions whose calls go through a helper.
	relayed int
	advice  map[flow.StepID]*advice
	// wants are the questions of the latest plan that found no helper, the most
	// pressing first.
	wants []steps.Question
	// shares is the part of the servers asked about that may run a step, by queue.
	shares map[string]float64
	timed  map[string]bool
	// urgent is what urgent work starts, by pool.
	urgent map[string]*demand
	// briefs are the servers on which urgent work is gathered, by pool.
	briefs map[string]*shortlease.Selection
	// ranks tells which places are urgent by the configuration ranked.
	ranked  *flow.Config
	ranks   map[rank]bool
	buckets map[string]*bucket
	surplus map[string]bool
	speeds  map[string]*speed
	// usual is how long runs take beside what was declared, on the whole.
	usual float64
	times map[flow.StepID]steps.Timing
	// shunned are the servers on which a task of a step failed.
	shunned map[flow.StepID]map[string]bool
	// asked are the requests that wait for a commit or a proof; each is told
	// when this replica is deposed before.
	asked  map[uint64]func()
	serial uint64

	// emptied are the servers that are to run empty for an upkeep, ordered is
	// until when the last order about a machine is waited for.
	emptied map[string]bool
	// drained are the drained zones as the latest look found them.
	drained map[string]time.Duration
	ordered map[string]time.Duration
	waved   time.Duration
	zoned   time.Duration

	// stops are the runs whose stop is asked again until it is answered.
	stops map[*run]*session
	// answers is how long answers to orders usually take.
	answers time.Duration

	// planned is when the last plan was made, plans counts them.
	planned time.Duration
	plans   int
	pacer   steps.Pacer
	planner steps.Planner
	view    steps.View
	dirty   bool
	// off tells that this machine's time of day is off.
	off    bool
	swept  time.Duration
	roster time.Duration
}
