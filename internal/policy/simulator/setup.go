package simulator

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

const pool = "pool"

// RequestKind is one kind of request.
type RequestKind struct {
	Name     string
	Priority uint32
	// Rate is requests a second, Chain the steps that follow each other, Tasks
	// those of a step, Work the seconds a task runs and CPU its thousandths of a core.
	Rate        float64
	MeanSteps   float64
	MeanTasks   float64
	MeanRuntime float64
	CPU         float64
	Checkpoints bool
	// GangShare is the part of its steps whose tasks start and end together.
	GangShare float64
	// Factor and Target (milliseconds) are those of the objective.
	Factor float64
	Target uint64
	// QuestionBase and Each are what a question costs, in milliseconds.
	QuestionBase, QuestionPerServer float64
	// Value is what one in time is worth.
	Value float64
}

// Surge is a time in which a kind of request comes more often.
type Surge struct {
	Kind       int
	Start, End time.Duration
	Factor     float64
}

// Outage is a time in which something is missing: the leader, some servers, helpers.
type Outage struct{ Start, End time.Duration }

// serverSpec is a server as it was drawn.
type serverSpec struct {
	id, rack string
	cores    int64
	speed    float64
}

// Scenario is what is played; all of it follows from the seed and the size.
type Scenario struct {
	Seed        uint64
	Duration    time.Duration
	Servers     []serverSpec
	HelperCount int
	Kinds       []RequestKind
	// CustomerWeights are the parts of the traffic that each sends.
	CustomerWeights []float64
	Lease           time.Duration
	Surges          []Surge
	// LeaderOutages are the times without a leader, Silent those of servers by their
	// place, Leave when servers leave, Weak is how often a run fails by itself.
	LeaderOutages []Outage
	ServerOutages map[int]Outage
	Shutdowns     map[int]time.Duration
	FailureRate   float64
	// AllowedShare is the part of the servers that may run a step.
	AllowedShare float64
}

// GenerateScenario returns a set-up of about n servers. Sizes, mixes and troubles follow from
// the seed.
func GenerateScenario(seed uint64, n int) Scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	between := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	s := Scenario{
		Seed: seed, Duration: time.Duration(between(28, 40) * float64(time.Second)), HelperCount: 8 + n/10,
		Lease: time.Duration(between(6, 10) * float64(time.Second)), ServerOutages: map[int]Outage{}, Shutdowns: map[int]time.Duration{},
		FailureRate: between(0.01, 0.05), AllowedShare: between(0.3, 0.7),
	}
	cores := []int64{16000, 32000}[r.IntN(2)]
	n = int(float64(n) * between(0.8, 1.2))
	for i := range n {
		speed := []float64{1, 1, 1.3}[i%3]
		s.Servers = append(s.Servers, serverSpec{fmt.Sprintf("s%03d", i), fmt.Sprintf("rack%d", i/8), cores, speed})
	}
	s.kinds(float64(n)*float64(cores), between)
	for range 6 + n/25 {
		s.CustomerWeights = append(s.CustomerWeights, between(0.3, 2)*between(0.3, 2))
	}
	s.trouble(r, n, between)
	return s
}

// kinds draws the mix, so that it takes between four fifths of the room and somewhat more than all.
func (s *Scenario) kinds(total float64, between func(a, b float64) float64) {
	load := between(0.8, 1.15)
	wide := math.Sqrt(float64(len(s.Servers)) / 48)
	s.Kinds = []RequestKind{
		{Name: "urgent", Priority: 0, MeanSteps: 1, MeanTasks: between(2, 3), MeanRuntime: 0.8, Factor: 1.5, Target: 250, QuestionBase: 7, QuestionPerServer: 0.1, Value: 0.4},
		{Name: "plan", Priority: 1, MeanSteps: 1.2, MeanTasks: between(6, 8) * wide, MeanRuntime: 6.2, Checkpoints: true, Factor: 2.2, Target: 1000, QuestionBase: 480, QuestionPerServer: 6.9, Value: 15},
		{Name: "batch", Priority: 2, MeanSteps: 1.5, MeanTasks: 10 * wide, MeanRuntime: 2.7, Factor: 4, Target: 3000, QuestionBase: 60, QuestionPerServer: 0.8, Value: 2.5},
	}
	s.Kinds[1].GangShare, s.Kinds[2].GangShare = between(0, 0.4), between(0, 0.2)
	parts := []float64{between(0.08, 0.15), between(0.4, 0.6)}
	parts = append(parts, 1-parts[0]-parts[1])
	cpu := []float64{between(1.2, 4), between(4, 9), between(1, 3)}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.CPU = cpu[i] * 1000
		k.Rate = load * parts[i] * total / (k.MeanSteps * k.MeanTasks * k.MeanRuntime * k.CPU)
	}
}

// trouble draws what goes wrong.
func (s *Scenario) trouble(r *rand.Rand, n int, between func(a, b float64) float64) {
	sec := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	from := between(4, 10)
	s.Surges = append(s.Surges, Surge{0, sec(from), sec(from + 4), between(1.6, 2.2)})
	from = between(18, 24)
	s.Surges = append(s.Surges, Surge{1, sec(from), sec(from + 4), between(1.5, 1.9)})
	for range 1 + r.IntN(2) {
		from = between(2, 26)
		s.LeaderOutages = append(s.LeaderOutages, Outage{sec(from), sec(from + between(0.5, 1.5))})
	}
	if r.IntN(2) == 0 {
		from = between(2, 20)
		s.LeaderOutages = append(s.LeaderOutages, Outage{sec(from), sec(from + between(3, 5))})
	}
	if r.IntN(3) > 0 {
		from = between(1, 20)
		for range n / 8 {
			s.ServerOutages[r.IntN(n)] = Outage{sec(from), sec(from + between(4, 8))}
		}
	}
	for range 1 + r.IntN(2) {
		from = between(8, 28)
		for range n / 20 {
			s.Shutdowns[r.IntN(n)] = sec(from)
		}
	}
}

// document returns the configuration document.
func (s Scenario) document() *v1.Document {
	d := &v1.Document{Version: 1, Text: []byte("model"), Pools: []*v1.Pool{{Name: pool}}}
	for _, k := range s.Kinds {
		d.Queues = append(d.Queues, &v1.Queue{
			Name: k.Name, Host: "host", Path: "/" + k.Name + "/", Pool: pool, Priority: k.Priority, Attempts: 3,
			Factor: k.Factor, Target: k.Target, Timeout: 3000,
			Advice: &v1.Advice{Base: k.QuestionBase, Each: k.QuestionPerServer, Valid: uint64(permitTime / time.Millisecond)},
		})
	}
	for i := range s.CustomerWeights {
		key := sha256.Sum256([]byte(customerName(i)))
		d.Customers = append(d.Customers, &v1.Customer{Name: customerName(i), Keys: [][]byte{key[:]}, Weight: 1})
	}
	return d
}

func customerName(i int) string { return fmt.Sprintf("customer%d", i) }
func helperName(i int) string   { return fmt.Sprintf("helper%d", i) }
