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

// Site describes the servers and task sizes of a deployment.
type Site struct {
	// Name is printed in the results.
	Name string
	// ServerCapacity is the capacity of one server. Only every second rack has
	// accelerators.
	ServerCapacity capacity.Size
	// Servers is the number of servers, ServersPerRack the number in one rack and Zones
	// the number of availability zones.
	Servers, ServersPerRack, Zones int
	// MaxBatchSize, MaxGangSize and MaxUrgentSize are the largest sizes of a task of
	// each kind.
	MaxBatchSize, MaxGangSize, MaxUrgentSize capacity.Size
}

// Balastas is a deployment with many small orders and quotes.
func Balastas() Site {
	return Site{
		Name: "balastas", ServerCapacity: capacity.Size{CPU: 16_000, Memory: 32 << 10, Slots: 8},
		Servers: 50, ServersPerRack: 8, Zones: 3,
		MaxBatchSize:  capacity.Size{CPU: 4000, Memory: 8 << 10, Slots: 1},
		MaxGangSize:   capacity.Size{CPU: 2000, Memory: 4 << 10, Slots: 1},
		MaxUrgentSize: capacity.Size{CPU: 1000, Memory: 1 << 10, Slots: 1},
	}
}

// Coralwave is a deployment with large parameter sweeps, some of them on accelerators.
func Coralwave() Site {
	return Site{
		Name: "coralwave", ServerCapacity: capacity.Size{CPU: 32_000, Memory: 128 << 10, Accel: 4, Slots: 8},
		Servers: 50, ServersPerRack: 6, Zones: 4,
		MaxBatchSize:  capacity.Size{CPU: 8000, Memory: 32 << 10, Slots: 1},
		MaxGangSize:   capacity.Size{CPU: 4000, Memory: 16 << 10, Accel: 1, Slots: 1},
		MaxUrgentSize: capacity.Size{CPU: 2000, Memory: 2 << 10, Slots: 1},
	}
}

// BalastasLargeBatch is Balastas with batch tasks that take up to half a server.
func BalastasLargeBatch() Site {
	s := Balastas()
	s.Name, s.MaxBatchSize = "heavy", capacity.Size{CPU: 8000, Memory: 16 << 10, Slots: 4}
	return s
}

// servers returns the backend servers of the site.
func (s Site) servers() []backend.Server {
	var servers []backend.Server
	for i := range s.Servers {
		rackIndex := i / s.ServersPerRack
		size := s.ServerCapacity
		if rackIndex%2 == 1 {
			size.Accel = 0
		}
		servers = append(servers, backend.Server{
			ID: fmt.Sprintf("s%05d", i), Incarnation: 1, Capacity: size, State: backend.Ready,
			Rack: fmt.Sprintf("r%04d", rackIndex), Zone: fmt.Sprintf("z%02d", rackIndex%s.Zones),
		})
	}
	return servers
}

func (s Site) totalCapacity() capacity.Size {
	var sum capacity.Size
	for _, b := range s.servers() {
		sum = sum.Add(b.Capacity)
	}
	return sum
}

// simulatedTeams lists six teams with their table rows and their fractions of the load. The
// first two are large.
var simulatedTeams = []struct {
	row          team.Row
	loadFraction float64
}{
	{team.New("ada").WithGuaranteedShare(250).WithWeight(3), 0.35},
	{team.New("bor").WithGuaranteedShare(200).WithWeight(3), 0.25},
	{team.New("cem").WithGuaranteedShare(100), 0.15},
	{team.New("dov").WithGuaranteedShare(100), 0.10},
	{team.New("eda").WithGuaranteedShare(50), 0.10},
	{team.New("fen").WithGuaranteedShare(50), 0.05},
}

// InitialTable returns the team table at the start of a run.
func InitialTable() table.Table {
	var rows []team.Row
	for _, c := range simulatedTeams {
		rows = append(rows, c.row)
	}
	return table.Restore(1, rows)
}

// The fractions of a workload.
const (
	// urgentFraction and gangFraction are the fractions of the drawn jobs that are of
	// that kind. The other drawn jobs are batch.
	urgentFraction = 0.45
	gangFraction   = 0.05
	// serviceFraction is the fraction of the cell's capacity that the services take.
	serviceFraction = 0.15
	// diurnalSwing is the fraction by which the diurnal peak exceeds the mean arrival
	// rate.
	diurnalSwing = 0.3
)

// jobSource draws random jobs.
type jobSource struct {
	rng  *rand.Rand
	site Site
	// wrongRuntimes multiplies the declared run times by a random factor from 0.1 to 10.
	wrongRuntimes bool
	// crashFraction is the fraction of the jobs whose tasks always crash.
	crashFraction float64
	// overuseFraction is the fraction of the jobs whose tasks use more than they
	// declare.
	overuseFraction float64
}

// drawnJob is a job together with the actual behaviour of its tasks.
type drawnJob struct {
	spec     *job.Spec
	runtimes []time.Duration
	usage    capacity.Size
	crashes  bool
}

func (s *jobSource) drawJob() drawnJob {
	kind, p := job.Batch, s.rng.Float64()
	switch {
	case p < urgentFraction:
		kind = job.Urgent
	case p < urgentFraction+gangFraction:
		kind = job.Gang
	}
	nameIndex := s.rng.IntN(5)
	size, n, mean := s.drawShape(kind, nameIndex)
	d := drawnJob{spec: &job.Spec{
		Team: s.drawTeam(), Kind: kind, Name: fmt.Sprintf("%s%d", kind, nameIndex), Count: uint32(n), Size: size,
		AtMostOnce: kind == job.Batch && s.rng.Float64() < 0.1,
	}}
	for range n {
		d.runtimes = append(d.runtimes, s.drawRuntime(kind, mean))
	}
	d.spec.EstimatedRuntime = mean
	if s.wrongRuntimes {
		d.spec.EstimatedRuntime = time.Duration(float64(mean) * math.Pow(10, 2*s.rng.Float64()-1))
	}
	d.usage = size
	if s.rng.Float64() < s.overuseFraction {
		d.usage = capacity.Size{CPU: size.CPU * 3 / 2, Memory: size.Memory * 5 / 4, Accel: size.Accel, Slots: size.Slots}
	}
	d.crashes = s.rng.Float64() < s.crashFraction
	return d
}

func (s *jobSource) drawShape(kind job.Kind, nameIndex int) (capacity.Size, int, time.Duration) {
	switch kind {
	case job.Urgent:
		return s.site.MaxUrgentSize, 1, 1200 * time.Millisecond
	case job.Gang:
		size := s.site.MaxGangSize
		n := 4 << s.rng.IntN(3)
		if nameIndex%2 == 0 || size.Accel == 0 {
			size.Accel = 0
		} else {
			n = 4
		}
		return size, n, time.Duration(30+30*nameIndex) * time.Second
	}
	size := s.site.MaxBatchSize
	for range s.rng.IntN(3) {
		size.CPU, size.Memory = size.CPU/2, size.Memory/2
	}
	if nameIndex == 4 {
		size.Memory = min(size.Memory*2, s.site.MaxBatchSize.Memory)
	}
	return size, 1 + int(s.rng.ExpFloat64()*4), time.Duration(15<<nameIndex) * time.Second
}

// drawRuntime draws the run time of one task. Batch run times are heavy-tailed: a
// Pareto distribution limited to 20 times the mean. Others vary by at most half the
// mean.
func (s *jobSource) drawRuntime(kind job.Kind, mean time.Duration) time.Duration {
	factor := 0.5 + s.rng.Float64()
	if kind == job.Batch {
		factor = min(20, 0.375/math.Pow(1-s.rng.Float64(), 1/1.6))
	}
	return time.Duration(float64(mean) * factor)
}

func (s *jobSource) drawTeam() string {
	p := s.rng.Float64()
	for _, c := range simulatedTeams {
		if p -= c.loadFraction; p < 0 {
			return c.row.Name
		}
	}
	return simulatedTeams[0].row.Name
}

// arrivalRate returns the number of jobs per second that gives the wanted load. The
// load is that of the most used resource, averaged over 20,000 drawn jobs.
func (s *jobSource) arrivalRate(load float64) float64 {
	const drawCount = 20_000
	var sum [capacity.Dimensions]float64
	for range drawCount {
		d := s.drawJob()
		for _, t := range d.runtimes {
			seconds := t.Seconds()
			sum[0] += seconds * float64(d.spec.Size.CPU)
			sum[1] += seconds * float64(d.spec.Size.Memory)
			sum[2] += seconds * float64(d.spec.Size.Accel)
			sum[3] += seconds * float64(d.spec.Size.Slots)
		}
	}
	total := s.site.totalCapacity()
	maxLoad := 0.0
	for i, t := range [...]int64{total.CPU, total.Memory, total.Accel, total.Slots} {
		if t > 0 {
			maxLoad = max(maxLoad, sum[i]/float64(t))
		}
	}
	return (load - serviceFraction) * drawCount / maxLoad
}

// submitArrivals submits jobs at the given mean rate with the diurnal swing until the
// run ends.
func (w *Simulation) submitArrivals(s *jobSource, rate float64, period time.Duration) {
	d := s.drawJob()
	intervalSeconds := s.rng.ExpFloat64() / (rate * (1 + diurnalSwing*math.Sin(2*math.Pi*w.now.Seconds()/period.Seconds())))
	w.Schedule(w.now+time.Duration(intervalSeconds*float64(time.Second)), func() {
		w.Submit(d.spec, d.runtimes, d.usage, d.crashes)
		w.submitArrivals(s, rate, period)
	})
}

// submitServices submits the services, which run for the whole simulation.
func (w *Simulation) submitServices(site Site, load float64) {
	size := site.MaxGangSize
	size.Accel = 0
	taskShare := size.DominantShare(site.totalCapacity())
	n := int(load / taskShare)
	for _, c := range simulatedTeams {
		taskCount := int(float64(n) * c.loadFraction)
		if taskCount == 0 {
			continue
		}
		spec := &job.Spec{Team: c.row.Name, Kind: job.Service, Name: "service", Count: uint32(taskCount), Size: size, MinRunningTasks: uint32(taskCount - 1)}
		runtimes := make([]time.Duration, taskCount)
		for i := range runtimes {
			runtimes[i] = 1000 * time.Hour
		}
		w.Submit(spec, runtimes, size, false)
	}
}
