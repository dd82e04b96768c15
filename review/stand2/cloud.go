package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is maintenance_s: how long a machine is away for its upkeep.
const upkeepTime = 2 * time.Second

// cloud is a stand-in for the service of the platform that owns the machines.
type cloud struct {
	c        *cell
	listener net.Listener

	mu    sync.Mutex
	away  map[string]bool
	begun map[string]int // the wave of the latest upkeep, by machine
	fence map[string]int
}

// startCloud starts the stand-in. It is called before the processes start.
func (c *cell) startCloud() (*cloud, error) {
	listener, err := net.Listen("tcp", c.ip(200)+":"+cloudPort)
	if err != nil {
		return nil, err
	}
	c.hasCloud = true
	o := &cloud{c: c, listener: listener, away: map[string]bool{}, begun: map[string]int{}, fence: map[string]int{}}
	go func() { _ = (&http.Server{Handler: o, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	return o, nil
}

// ServeHTTP takes a call of the system.
func (o *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := http.StatusNotFound, map[string]any{}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/machines":
		status, answer = http.StatusOK, o.list()
	case r.URL.Path == word("upkeepPath"):
		var call map[string]any
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			status = http.StatusBadRequest
			break
		}
		machine, _ := call[word("machine")].(string)
		fence, _ := strconv.Atoi(r.Header.Get(word("fenceHeader")))
		status, answer = o.upkeep(machine, int(number(call[word("wave")])), fence)
		o.c.note("platform: upkeep of %s, holder %s, fence %d: %d %v", machine, r.Header.Get(word("holderHeader")), fence, status, answer)
	}
	b, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// list returns the list of machines, which fits a page.
func (o *cloud) list() map[string]any {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []map[string]any
	for _, s := range o.c.servers {
		state := "up"
		if o.away[s.machine] {
			state = "upkeep"
		}
		list = append(list, map[string]any{
			word("machine"): s.machine, word("pool"): "pool", word("state"): state, word("zone"): s.zone, word("labels"): []string{s.kind, s.rack}, word("server"): s.id,
			word("capacity"): map[string]int{word("cpu"): s.cpu, word("memory"): s.memory, word("accelerators"): 0},
		})
	}
	return map[string]any{word("machines"): list, word("nextToken"): ""}
}

// upkeep takes a machine down for its upkeep.
func (o *cloud) upkeep(machine string, wave, fence int) (int, map[string]any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var s *server
	for _, other := range o.c.servers {
		if other.machine == machine {
			s = other
		}
	}
	switch {
	case s == nil:
		return http.StatusBadRequest, map[string]any{}
	case fence < o.fence[machine]:
		return http.StatusConflict, map[string]any{word("reason"): "fence"}
	case o.away[machine]:
		return http.StatusConflict, map[string]any{word("reason"): "busy"}
	}
	o.fence[machine] = fence
	if o.begun[machine] == wave {
		return http.StatusOK, map[string]any{}
	}
	o.begun[machine], o.away[machine] = wave, true
	s.crash()
	time.AfterFunc(upkeepTime, func() {
		if err := s.begin(); err != nil {
			o.c.note("server %s does not come back: %v", s.id, err)
		}
		o.mu.Lock()
		o.away[machine] = false
		o.mu.Unlock()
		o.c.note("platform: %s is back", machine)
	})
	return http.StatusOK, map[string]any{}
}
