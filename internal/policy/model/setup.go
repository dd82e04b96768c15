package model

import (
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

const pool = "pool"

// Kind is one kind of request.
type Kind struct {
	Name     string
	Priority uint32
	// Rate is requests a second, Chain the steps that follow each other, Tasks
	// those of a step, Work the seconds a task runs and CPU its thousandths of a core.
	Rate  float64
	Chain float64
	Tasks float64
	Work  float64
	CPU   float64
	Saves bool
	// Gang is the part of its steps whose tasks start and end together.
	Gang float64
	// Factor and Target (milliseconds) are those of the objective.
	Factor float64
	Target uint64
	// Base and Each are what a question costs, in milliseconds.
	Base, Each float64
	// Worth is what one in time is worth.
	Worth float64
}

// Surge is a time in which a kind of request comes more often.
type Surge struct {
	Kind      int
	At, Until time.Duration
	Times     float64
}

// Gap is a time in which something is missing: the leader, some servers, helpers.
type Gap struct{ At, Until time.Duration }

// serverSpec is a server as it was drawn.
type serverSpec struct {
	id, rack string
	cores    int64
	speed    float64
}

// Setup is what is played; all of it follows from the seed and the size.
type Setup struct {
	Seed    uint64
	Length  time.Duration
	Servers []serverSpec
	Helpers int
	Kinds   []Kind
	// Customers are the parts of the traffic that each sends.
	Customers []float64
	Lease     time.Duration
	Surges    []Surge
	// Absent are the times without a leader, Silent those of servers by their
	// place, Leave when servers leave, Weak is how often a run fails by itself.
	Absent []Gap
	Silent map[int]Gap
	Leave  map[int]time.Duration
	Weak   float64
	// Share is the part of the servers that may run a step.
	Share float64
}

// Draw returns a set-up of about n servers. Sizes, mixes and troubles follow from
// the seed.
func Draw(seed uint64, n int) Setup {
	r := rand.New(rand.NewPCG(seed, 3))
	between := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	s := Setup{
		Seed: seed, Length: time.Duration(between(28, 40) * float64(time.Second)), Helpers: 8 + n/10,
		Lease: time.Duration(between(6, 10) * float64(time.Second)), Silent: map[int]Gap{}, Leave: map[int]time.Duration{},
		Weak: between(0.01, 0.05), Share: between(0.3, 0.7),
	}
	cores := []int64{16000, 32000}[r.IntN(2)]
	n = int(float64(n) * between(0.8, 1.2))
	for i := range n {
		speed := []float64{1, 1, 1.3}[i%3]
		s.Servers = append(s.Servers, serverSpec{fmt.Sprintf("s%03d", i), fmt.Sprintf("rack%d", i/8), cores, speed})
	}
	s.kinds(float64(n)*float64(cores), between)
	for range 6 + n/25 {
		s.Customers = append(s.Customers, between(0.3, 2)*between(0.3, 2))
	}
	s.trouble(r, n, between)
	return s
}

// kinds draws the mix, so that it takes between four fifths of the room and somewhat more than all.
func (s *Setup) kinds(total float64, between func(a, b float64) float64) {
	load := between(0.8, 1.15)
	wide := math.Sqrt(float64(len(s.Servers)) / 48)
	s.Kinds = []Kind{
		{Name: "urgent", Priority: 0, Chain: 1, Tasks: between(2, 3), Work: 0.8, Factor: 1.5, Target: 250, Base: 7, Each: 0.1, Worth: 0.4},
		{Name: "plan", Priority: 1, Chain: 1.2, Tasks: between(6, 8) * wide, Work: 6.2, Saves: true, Factor: 2.2, Target: 1000, Base: 480, Each: 6.9, Worth: 15},
		{Name: "batch", Priority: 2, Chain: 1.5, Tasks: 10 * wide, Work: 2.7, Factor: 4, Target: 3000, Base: 60, Each: 0.8, Worth: 2.5},
	}
	s.Kinds[1].Gang, s.Kinds[2].Gang = between(0, 0.4), between(0, 0.2)
	parts := []float64{between(0.08, 0.15), between(0.4, 0.6)}
	parts = append(parts, 1-parts[0]-parts[1])
	cpu := []float64{between(1.2, 4), between(4, 9), between(1, 3)}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.CPU = cpu[i] * 1000
		k.Rate = load * parts[i] * total / (k.Chain * k.Tasks * k.Work * k.CPU)
	}
}

// trouble draws what goes wrong.
func (s *Setup) trouble(r *rand.Rand, n int, between func(a, b float64) float64) {
	sec := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	from := between(4, 10)
	s.Surges = append(s.Surges, Surge{0, sec(from), sec(from + 4), between(1.6, 2.2)})
	from = between(18, 24)
	s.Surges = append(s.Surges, Surge{1, sec(from), sec(from + 4), between(1.5, 1.9)})
	for range 1 + r.IntN(2) {
		from = between(2, 26)
		s.Absent = append(s.Absent, Gap{sec(from), sec(from + between(0.5, 1.5))})
	}
	if r.IntN(2) == 0 {
		from = between(2, 20)
		s.Absent = append(s.Absent, Gap{sec(from), sec(from + between(3, 5))})
	}
	if r.IntN(3) > 0 {
		from = between(1, 20)
		for range n / 8 {
			s.Silent[r.IntN(n)] = Gap{sec(from), sec(from + between(4, 8))}
		}
	}
	for range 1 + r.IntN(2) {
		from = between(8, 28)
		for range n / 20 {
			s.Leave[r.IntN(n)] = sec(from)
		}
	}
}

// document returns the configuration document.
func (s Setup) document() *v1.Document {
	d := &v1.Document{Version: 1, Text: []byte("model"), Pools: []*v1.Pool{{Name: pool}}}
	for _, k := range s.Kinds {
		d.Queues = append(d.Queues, &v1.Queue{
			Name: k.Name, Host: "host", Path: "/" + k.Name + "/", Pool: pool, Priority: k.Priority, Attempts: 3,
			Factor: k.Factor, Target: k.Target, Timeout: 3000,
			Advice: &v1.Advice{Base: k.Base, Each: k.Each, Valid: uint64(permitTime / time.Millisecond)},
		})
	}
	for i := range s.Customers {
		key := sha256.Sum256([]byte(customerName(i)))
		d.Customers = append(d.Customers, &v1.Customer{Name: customerName(i), Keys: [][]byte{key[:]}, Weight: 1})
	}
	return d
}

func customerName(i int) string { return fmt.Sprintf("customer%d", i) }
func helperName(i int) string   { return fmt.Sprintf("helper%d", i) }
