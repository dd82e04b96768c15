package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumreel/internal/domain/backend"
	"gypsumreel/internal/domain/capacity"
	"gypsumreel/internal/domain/job"
	"gypsumreel/internal/domain/table"
	"gypsumreel/internal/domain/team"
)

// Site is the shape of a deployment.
type Site struct {
	// Name names the deployment.
	Name string
	// ServerCapacity is one server's capacity; every second rack has the accelerators.
	ServerCapacity capacity.Size
	// Servers, PerRack and Zones shape the cell.
	Servers, ServersPerRack, Zones int
	// MaxBatchSize, Gang and Urgent are the largest sizes of a task of each kind.
	MaxBatchSize, MaxGangSize, MaxUrgentSize capacity.Size
}

// Balastas has many small orders and quotes.
func Balastas() Site {
	return Site{
		Name: "balastas", ServerCapacity: capacity.Size{CPU: 16_000, Memory: 32 << 10, Slots: 8},
		Servers: 50, ServersPerRack: 8, Zones: 3,
		MaxBatchSize:  capacity.Size{CPU: 4000, Memory: 8 << 10, Slots: 1},
		MaxGangSize:   capacity.Size{CPU: 2000, Memory: 4 << 10, Slots: 1},
		MaxUrgentSize: capacity.Size{CPU: 1000, Memory: 1 << 10, Slots: 1},
	}
}

// Coralwave has heavy sweeps, some on accelerators.
func Coralwave() Site {
	return Site{
		Name: "coralwave", ServerCapacity: capacity.Size{CPU: 32_000, Memory: 128 << 10, Accel: 4, Slots: 8},
		Servers: 50, ServersPerRack: 6, Zones: 4,
		MaxBatchSize:  capacity.Size{CPU: 8000, Memory: 32 << 10, Slots: 1},
		MaxGangSize:   capacity.Size{CPU: 4000, Memory: 16 << 10, Accel: 1, Slots: 1},
		MaxUrgentSize: capacity.Size{CPU: 2000, Memory: 2 << 10, Slots: 1},
	}
}

// Heavy is Balastas with batch of up to half a server.
func Heavy() Site {
	s := Balastas()
	s.Name, s.MaxBatchSize = "heavy", capacity.Size{CPU: 8000, Memory: 16 << 10, Slots: 4}
	return s
}

// servers returns the servers of the site.
func (s Site) servers() []backend.Server {
	var list []backend.Server
	for i := range s.Servers {
		r := i / s.ServersPerRack
		size := s.ServerCapacity
		if r%2 == 1 {
			size.Accel = 0
		}
		list = append(list, backend.Server{
			ID: fmt.Sprintf("s%05d", i), Incarnation: 1, Capacity: size, State: backend.Ready,
			Rack: fmt.Sprintf("r%04d", r), Zone: fmt.Sprintf("z%02d", r%s.Zones),
		})
	}
	return list
}

func (s Site) total() capacity.Size {
	var sum capacity.Size
	for _, b := range s.servers() {
		sum = sum.Add(b.Capacity)
	}
	return sum
}

// customers are six teams; the first two are large.
var customers = []struct {
	row  team.Row
	part float64
}{
	{team.New("ada").WithGuaranteedShare(250).WithWeight(3), 0.35},
	{team.New("bor").WithGuaranteedShare(200).WithWeight(3), 0.25},
	{team.New("cem").WithGuaranteedShare(100), 0.15},
	{team.New("dov").WithGuaranteedShare(100), 0.10},
	{team.New("eda").WithGuaranteedShare(50), 0.10},
	{team.New("fen").WithGuaranteedShare(50), 0.05},
}

// InitialTable returns the table that the workloads start with.
func InitialTable() table.Table {
	var rows []team.Row
	for _, c := range customers {
		rows = append(rows, c.row)
	}
	return table.Restore(1, rows)
}

// The mix of a workload.
const (
	urgentPart  = 0.45
	gangPart    = 0.05
	servicePart = 0.15
	// swing is the part by which the diurnal peak exceeds the mean.
	swing = 0.3
)

// source draws jobs.
type source struct {
	rng  *rand.Rand
	site Site
	// off makes declared run times wrong by up to 10 times either way.
	off bool
	// crash is the part of the jobs that always crash.
	crash float64
	// greedy is the part of the jobs that use more than they declare.
	greedy float64
}

// draft is a job drawn.
type draft struct {
	spec    *job.Spec
	times   []time.Duration
	used    capacity.Size
	crashes bool
}

func (s *source) draw() draft {
	kind, p := job.Batch, s.rng.Float64()
	switch {
	case p < urgentPart:
		kind = job.Urgent
	case p < urgentPart+gangPart:
		kind = job.Gang
	}
	name := s.rng.IntN(5)
	size, n, mean := s.shape(kind, name)
	d := draft{spec: &job.Spec{
		Team: s.team(), Kind: kind, Name: fmt.Sprintf("%s%d", kind, name), Count: uint32(n), Size: size,
		AtMostOnce: kind == job.Batch && s.rng.Float64() < 0.1,
	}}
	for range n {
		d.times = append(d.times, s.runtime(kind, mean))
	}
	d.spec.EstimatedRuntime = mean
	if s.off {
		d.spec.EstimatedRuntime = time.Duration(float64(mean) * math.Pow(10, 2*s.rng.Float64()-1))
	}
	d.used = size
	if s.rng.Float64() < s.greedy {
		d.used = capacity.Size{CPU: size.CPU * 3 / 2, Memory: size.Memory * 5 / 4, Accel: size.Accel, Slots: size.Slots}
	}
	d.crashes = s.rng.Float64() < s.crash
	return d
}

func (s *source) shape(kind job.Kind, name int) (capacity.Size, int, time.Duration) {
	switch kind {
	case job.Urgent:
		return s.site.MaxUrgentSize, 1, 1200 * time.Millisecond
	case job.Gang:
		size := s.site.MaxGangSize
		n := 4 << s.rng.IntN(3)
		if name%2 == 0 || size.Accel == 0 {
			size.Accel = 0
		} else {
			n = 4
		}
		return size, n, time.Duration(30+30*name) * time.Second
	}
	size := s.site.MaxBatchSize
	for range s.rng.IntN(3) {
		size.CPU, size.Memory = size.CPU/2, size.Memory/2
	}
	if name == 4 {
		size.Memory = min(size.Memory*2, s.site.MaxBatchSize.Memory)
	}
	return size, 1 + int(s.rng.ExpFloat64()*4), time.Duration(15<<name) * time.Second
}

// runtime is heavy-tailed for batch: a Pareto distribution cut at 20 times the mean.
func (s *source) runtime(kind job.Kind, mean time.Duration) time.Duration {
	x := 0.5 + s.rng.Float64()
	if kind == job.Batch {
		x = min(20, 0.375/math.Pow(1-s.rng.Float64(), 1/1.6))
	}
	return time.Duration(float64(mean) * x)
}

func (s *source) team() string {
	p := s.rng.Float64()
	for _, c := range customers {
		if p -= c.part; p < 0 {
			return c.row.Name
		}
	}
	return customers[0].row.Name
}

// rate returns the jobs a second that make up the given load of the cell: the
// largest part of it in any field that they take on average.
func (s *source) rate(load float64) float64 {
	const draws = 20_000
	var sum [capacity.Dimensions]float64
	for range draws {
		d := s.draw()
		for _, t := range d.times {
			x := t.Seconds()
			sum[0] += x * float64(d.spec.Size.CPU)
			sum[1] += x * float64(d.spec.Size.Memory)
			sum[2] += x * float64(d.spec.Size.Accel)
			sum[3] += x * float64(d.spec.Size.Slots)
		}
	}
	total := s.site.total()
	most := 0.0
	for i, t := range [...]int64{total.CPU, total.Memory, total.Accel, total.Slots} {
		if t > 0 {
			most = max(most, sum[i]/float64(t))
		}
	}
	return (load - servicePart) * draws / most
}

// feed submits jobs at the rate with its diurnal swing, for as long as the world runs.
func (w *World) feed(s *source, rate float64, day time.Duration) {
	d := s.draw()
	gap := s.rng.ExpFloat64() / (rate * (1 + swing*math.Sin(2*math.Pi*w.now.Seconds()/day.Seconds())))
	w.Schedule(w.now+time.Duration(gap*float64(time.Second)), func() {
		w.Submit(d.spec, d.times, d.used, d.crashes)
		w.feed(s, rate, day)
	})
}

// serve submits the services that run all the time.
func (w *World) serve(site Site, load float64) {
	size := site.MaxGangSize
	size.Accel = 0
	per := size.DominantShare(site.total())
	n := int(load / per)
	for _, c := range customers {
		k := int(float64(n) * c.part)
		if k == 0 {
			continue
		}
		spec := &job.Spec{Team: c.row.Name, Kind: job.Service, Name: "service", Count: uint32(k), Size: size, MinRunningTasks: uint32(k - 1)}
		times := make([]time.Duration, k)
		for i := range times {
			times[i] = 1000 * time.Hour
		}
		w.Submit(spec, times, size, false)
	}
}
