package simulator

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// pool is the name of the only server pool.
const pool = "pool"

// RequestKind describes one kind of request.
type RequestKind struct {
	Name     string
	Priority uint32
	// Rate is the number of requests per second. MeanSteps is the mean number of consecutive
	// steps, MeanTasks the mean number of tasks per step, MeanRuntime the mean run time of a
	// task in seconds. CPU is in thousandths of a core.
	Rate        float64
	MeanSteps   float64
	MeanTasks   float64
	MeanRuntime float64
	CPU         float64
	Checkpoints bool
	// GangShare is the share of steps whose tasks start and end together.
	GangShare float64
	// Factor and Target set the objective: Factor times the run time, plus Target milliseconds.
	Factor float64
	Target uint64
	// QuestionBase and QuestionPerServer are the duration of a question to the adviser, in
	// milliseconds: a base and an addition for each server.
	QuestionBase, QuestionPerServer float64
	// Value is the mean value of a request that ends within its objective.
	Value float64
}

// Surge is a period in which requests of one kind arrive more often, by Factor.
type Surge struct {
	Kind       int
	Start, End time.Duration
	Factor     float64
}

// CustomerSurge is a period in which one customer, given by its index, sends more, by Factor.
type CustomerSurge struct {
	Customer   int
	Start, End time.Duration
	Factor     float64
}

// Outage is a period in which the leader or a server is not available.
type Outage struct{ Start, End time.Duration }

// serverSpec describes one server of a scenario.
type serverSpec struct {
	id, rack   string
	milliCores int64
	speed      float64
}

// Scenario describes a simulation. It is fully determined by its seed and size.
type Scenario struct {
	Seed        uint64
	Duration    time.Duration
	Servers     []serverSpec
	HelperCount int
	Kinds       []RequestKind
	// CustomerWeights are the relative amounts of traffic of the customers.
	CustomerWeights []float64
	Lease           time.Duration
	Surges          []Surge
	CustomerSurge   CustomerSurge
	// LeaderOutages are the periods without a leader. ServerOutages and Shutdowns are the
	// disconnections and shutdowns of servers, by server index. FailureRate is the probability
	// that a run fails by its own fault.
	LeaderOutages []Outage
	ServerOutages map[int]Outage
	Shutdowns     map[int]time.Duration
	FailureRate   float64
	// AllowedShare is the share of servers on which the adviser allows a step.
	AllowedShare float64
}

// GenerateScenario returns a random scenario with about n servers. Equal seeds give equal
// scenarios.
func GenerateScenario(seed uint64, n int) Scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	uniform := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	s := Scenario{
		Seed: seed, Duration: time.Duration(uniform(28, 40) * float64(time.Second)), HelperCount: 8 + n/10,
		Lease: time.Duration(uniform(6, 10) * float64(time.Second)), ServerOutages: map[int]Outage{}, Shutdowns: map[int]time.Duration{},
		FailureRate: uniform(0.01, 0.05), AllowedShare: uniform(0.3, 0.7),
	}
	cores := []int64{16000, 32000}[r.IntN(2)]
	n = int(float64(n) * uniform(0.8, 1.2))
	for i := range n {
		speed := []float64{1, 1, 1.3}[i%3]
		s.Servers = append(s.Servers, serverSpec{fmt.Sprintf("s%03d", i), fmt.Sprintf("rack%d", i/8), cores, speed})
	}
	s.generateKinds(float64(n)*float64(cores), uniform)
	for range 6 + n/25 {
		s.CustomerWeights = append(s.CustomerWeights, uniform(0.3, 2)*uniform(0.3, 2))
	}
	s.generateFaults(r, n, uniform)
	return s
}

// WithContention returns the scenario with more work than room for some seconds: all kinds of
// requests arrive more often, and afterwards one customer sends several times its usual.
func (s Scenario) WithContention() Scenario {
	const (
		burstStart, burstEnd, burstFactor = 5 * time.Second, 9 * time.Second, 1.7
		surgeStart, surgeEnd, surgeFactor = 12 * time.Second, 18 * time.Second, 8
	)
	s.Surges = slices.Clone(s.Surges)
	for i := range s.Kinds {
		s.Surges = append(s.Surges, Surge{i, burstStart, burstEnd, burstFactor})
	}
	s.CustomerSurge = CustomerSurge{int(s.Seed % uint64(len(s.CustomerWeights))), surgeStart, surgeEnd, surgeFactor}
	return s
}

// weight returns the relative amount of traffic of a customer at a time.
func (s Scenario) weight(customer int, at time.Duration) float64 {
	if c := s.CustomerSurge; c.Customer == customer && at >= c.Start && at < c.End {
		return s.CustomerWeights[customer] * c.Factor
	}
	return s.CustomerWeights[customer]
}

// rate returns the number of requests of a kind per second at a time.
func (s Scenario) rate(kind int, at time.Duration) float64 {
	rate := s.Kinds[kind].Rate
	for _, surge := range s.Surges {
		if surge.Kind == kind && at >= surge.Start && at < surge.End {
			rate *= surge.Factor
		}
	}
	return rate * (s.totalWeight(at) / s.totalWeight(s.Duration)) // no customer surge lasts until the end
}

// totalWeight returns the relative amount of traffic of all customers at a time.
func (s Scenario) totalWeight(at time.Duration) float64 {
	sum := 0.0
	for i := range s.CustomerWeights {
		sum += s.weight(i, at)
	}
	return sum
}

// generateKinds generates the kinds of requests. Their total load is between 80 and 115 percent
// of the capacity.
func (s *Scenario) generateKinds(totalCPU float64, uniform func(a, b float64) float64) {
	load := uniform(0.8, 1.15)
	sizeFactor := math.Sqrt(float64(len(s.Servers)) / 48)
	s.Kinds = []RequestKind{
		{Name: "urgent", Priority: 0, MeanSteps: 1, MeanTasks: uniform(2, 3), MeanRuntime: 0.8, Factor: 1.5, Target: 250, QuestionBase: 7, QuestionPerServer: 0.1, Value: 0.4},
		{Name: "plan", Priority: 1, MeanSteps: 1.2, MeanTasks: uniform(6, 8) * sizeFactor, MeanRuntime: 6.2, Checkpoints: true, Factor: 2.2, Target: 1000, QuestionBase: 480, QuestionPerServer: 6.9, Value: 15},
		{Name: "batch", Priority: 2, MeanSteps: 1.5, MeanTasks: 10 * sizeFactor, MeanRuntime: 2.7, Factor: 4, Target: 3000, QuestionBase: 60, QuestionPerServer: 0.8, Value: 2.5},
	}
	s.Kinds[1].GangShare, s.Kinds[2].GangShare = uniform(0, 0.4), uniform(0, 0.2)
	loadShares := []float64{uniform(0.08, 0.15), uniform(0.4, 0.6)}
	loadShares = append(loadShares, 1-loadShares[0]-loadShares[1])
	cpu := []float64{uniform(1.2, 4), uniform(4, 9), uniform(1, 3)}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.CPU = cpu[i] * 1000
		k.Rate = load * loadShares[i] * totalCPU / (k.MeanSteps * k.MeanTasks * k.MeanRuntime * k.CPU)
	}
}

// generateFaults generates surges, outages and shutdowns.
func (s *Scenario) generateFaults(r *rand.Rand, n int, uniform func(a, b float64) float64) {
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	start := uniform(4, 10)
	s.Surges = append(s.Surges, Surge{0, seconds(start), seconds(start + 4), uniform(1.6, 2.2)})
	start = uniform(18, 24)
	s.Surges = append(s.Surges, Surge{1, seconds(start), seconds(start + 4), uniform(1.5, 1.9)})
	for range 1 + r.IntN(2) {
		start = uniform(2, 26)
		s.LeaderOutages = append(s.LeaderOutages, Outage{seconds(start), seconds(start + uniform(0.5, 1.5))})
	}
	if r.IntN(2) == 0 {
		start = uniform(2, 20)
		s.LeaderOutages = append(s.LeaderOutages, Outage{seconds(start), seconds(start + uniform(3, 5))})
	}
	if r.IntN(3) > 0 {
		start = uniform(1, 20)
		for range n / 8 {
			s.ServerOutages[r.IntN(n)] = Outage{seconds(start), seconds(start + uniform(4, 8))}
		}
	}
	for range 1 + r.IntN(2) {
		start = uniform(8, 28)
		for range n / 20 {
			s.Shutdowns[r.IntN(n)] = seconds(start)
		}
	}
}

// document returns the configuration document of the cell.
func (s Scenario) document() *v1.Document {
	d := &v1.Document{Version: 1, Text: []byte("model"), Pools: []*v1.Pool{{Name: pool}}}
	for _, k := range s.Kinds {
		d.Queues = append(d.Queues, &v1.Queue{
			Name: k.Name, Host: "host", Path: "/" + k.Name + "/", Pool: pool, Priority: k.Priority, Attempts: 3,
			Factor: k.Factor, Target: k.Target, Timeout: 3000,
			Advice: &v1.Advice{Base: k.QuestionBase, Each: k.QuestionPerServer, Valid: uint64(permitValidity / time.Millisecond)},
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
