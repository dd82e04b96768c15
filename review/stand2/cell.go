package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Size and ports of the cell. The ports are the same on all machines.
const (
	controlCount = 3
	entryCount   = 2
	controlPort  = "8180"
	frontPort    = "8183"
	readyPort    = "8184"
	innerPort    = "7420"
	cloudPort    = "8182"
	serverPort   = "9000"
)

// Bounds as in the settings of the balastas-sched installation.
const (
	holdMax = 6 * time.Second
	stopMax = 200 * time.Millisecond
)

// zones are the availability zones.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// cell is a small deployment with its stand-ins.
type cell struct {
	*record
	program, templates, dir string
	network                 string // the first three bytes of the addresses
	client                  *http.Client
	hasCloud                bool
	// otherKind is the number of backend servers, the first ones, that are of the kind "b".
	otherKind int

	mu        sync.Mutex
	processes []*process
	servers   []*server
	closed    bool

	begunMu   sync.Mutex
	begunJobs map[string]bool
}

// process is a process of the system. It is started again when it ends, as the platform does it.
type process struct {
	c        *cell
	name     string
	ip       string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

// newCell prepares a cell on loopback addresses that are free.
func newCell(ctx context.Context, r *record, program, templates, keep string) (*cell, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stand2"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	c := &cell{
		record: r, program: program, templates: templates, dir: dir,
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 16},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if c.portsAreFree() {
			go func() {
				<-ctx.Done()
				c.close()
			}()
			return c, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// portsAreFree reports whether the addresses of the cell can be listened at.
func (c *cell) portsAreFree() bool {
	for n := 1; n <= 20; n++ {
		for _, port := range []string{controlPort, frontPort, innerPort, serverPort, "7421"} {
			l, err := net.Listen("tcp", c.ip(n)+":"+port)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cell) ip(n int) string { return fmt.Sprint(c.network, n) }

// controlIP and entryIP return the address of the n-th machine of a kind, from 0 on.
func (c *cell) controlIP(n int) string { return c.ip(1 + n%controlCount) }
func (c *cell) entryIP(n int) string   { return c.ip(11 + n%entryCount) }

// writeSettings writes the settings file of a process from the template of the deploy file.
func (c *cell) writeSettings(name, template, ip, zone string, bootstrap bool) (string, error) {
	b, err := os.ReadFile(filepath.Join(c.templates, template))
	if err != nil {
		return "", err
	}
	var seeds, quoted []string
	for n := range controlCount {
		seeds = append(seeds, `"`+c.controlIP(n)+":"+controlPort+`"`)
	}
	for _, z := range zones {
		quoted = append(quoted, `"`+z+`"`)
	}
	cloud := ""
	if c.hasCloud {
		cloud = c.ip(200) + ":" + cloudPort
	}
	text := strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","), `{{#zones}}"{{@}}"{{,}}{{/zones}}`, strings.Join(quoted, ","),
		"{{node_name}}", name, "{{zone}}", zone, "{{ip}}", ip, "{{data_dir}}", filepath.Join(c.dir, name), "{{internal_ports.0}}", innerPort,
		"{{listen.control}}", ip+":"+controlPort, "{{listen.front}}", ip+":"+frontPort, "{{listen.ready}}", ip+":"+readyPort,
		"{{limits.memory_mb}}", "280", "{{limits.disk_mb}}", "128", "{{limits.max_fds}}", "4096", "{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{advice}}", "", "{{cloud.address}}", cloud, "{{bounds.hold_max_ms}}", fmt.Sprint(holdMax.Milliseconds()),
		"{{bounds.stop_ms}}", fmt.Sprint(stopMax.Milliseconds()), "{{bounds.gang_ms}}", "3000", "{{bounds.status_s}}", "120", "{{bounds.grace_s}}", "6",
	).Replace(string(b))
	file := filepath.Join(c.dir, name+".json")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// kindOf returns the kind of the n-th backend server.
func (c *cell) kindOf(n int) string {
	if n < c.otherKind {
		return "b"
	}
	return "a"
}

// start starts the processes, and the given number of backend servers, and puts the first
// configuration.
func (c *cell) start(ctx context.Context, serverCount int) error {
	if err := c.startProcesses(ctx); err != nil {
		return err
	}
	for n := range serverCount {
		s, err := c.startServer(ctx, n)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.servers = append(c.servers, s)
		c.mu.Unlock()
	}
	return c.await(ctx, 20*time.Second, "the backend servers are known", func() bool {
		for _, s := range c.servers {
			if !s.isHeld() {
				return false
			}
		}
		return true
	})
}

// startProcesses starts the processes of the system and puts the first configuration.
func (c *cell) startProcesses(ctx context.Context) error {
	for n := range controlCount + entryCount {
		name, template, ip := fmt.Sprintf("core-%d", n), "control.json", c.controlIP(n)
		if n >= controlCount {
			name, template, ip = fmt.Sprintf("front-%d", n-controlCount), "entry.json", c.entryIP(n-controlCount)
		}
		file, err := c.writeSettings(name, template, ip, zones[n%len(zones)], n < controlCount)
		if err != nil {
			return err
		}
		p := &process{c: c, name: name, ip: ip, settings: file}
		c.mu.Lock()
		c.processes = append(c.processes, p)
		c.mu.Unlock()
		if err := p.start(); err != nil {
			return err
		}
	}
	document, err := json.Marshal(names["document"])
	if err != nil {
		return err
	}
	n := 0
	if err := c.await(ctx, 20*time.Second, "the configuration is acknowledged", func() bool {
		n++
		status, _ := c.callControl(ctx, n, http.MethodPut, "/config", document)
		return status == http.StatusOK
	}); err != nil {
		return err
	}
	for n := range controlCount { // later starts found no new group
		if _, err := c.writeSettings(fmt.Sprintf("core-%d", n), "control.json", c.controlIP(n), zones[n%len(zones)], false); err != nil {
			return err
		}
	}
	return c.await(ctx, 20*time.Second, "the entries are ready", func() bool {
		for n := range entryCount {
			if status, _, _ := c.call(ctx, time.Second, http.MethodGet, "http://"+c.entryIP(n)+":"+readyPort+"/ready", nil, nil); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (c *cell) await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("waited in vain until %s", what)
		}
	}
	c.note("%s", what)
	return nil
}

// start starts the process; it is started again when it ends.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.c.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		time.Sleep(200 * time.Millisecond)
		if err := p.start(); err != nil {
			p.c.note("%s does not start: %v", p.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills the process for good.
func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}

// leader returns the control process that gives orders now; nil if it is not known.
func (c *cell) leader(ctx context.Context) *process {
	for n := range controlCount {
		status, _, location := c.call(ctx, time.Second, http.MethodGet, "http://"+c.controlIP(n)+":"+controlPort+"/config", nil, nil)
		ip := c.controlIP(n)
		if status == http.StatusTemporaryRedirect {
			if _, after, ok := strings.Cut(location, "//"); ok {
				ip, _, _ = strings.Cut(after, ":")
			}
		} else if status != http.StatusOK {
			continue
		}
		for _, p := range c.processes {
			if p.ip == ip {
				return p
			}
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, s := range c.servers {
		s.shut()
	}
	for _, p := range c.processes {
		p.end()
	}
	c.client.CloseIdleConnections()
	if strings.Contains(filepath.Base(c.dir), "stand2") {
		time.Sleep(300 * time.Millisecond)
		_ = os.RemoveAll(c.dir)
	}
}

// call makes one HTTP call. The status is 0 if there is no answer.
func (c *cell) call(ctx context.Context, limit time.Duration, method, url string, body []byte, header map[string]string) (status int, text []byte, location string) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	request.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		request.Header.Set(k, v)
	}
	if h := header["Host"]; h != "" {
		request.Host = h
	}
	resp, err := c.client.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = resp.Body.Close() }()
	if text, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, ""
	}
	return resp.StatusCode, text, resp.Header.Get("Location")
}

// callControl calls a control process and follows two redirects.
func (c *cell) callControl(ctx context.Context, n int, method, path string, body []byte) (status int, text []byte) {
	url := "http://" + c.controlIP(n) + ":" + controlPort + path
	for range 3 {
		location := ""
		status, text, location = c.call(ctx, time.Second, method, url, body, nil)
		if status != http.StatusTemporaryRedirect {
			break
		}
		url = location
	}
	return status, text
}

// Keys of the two customers.
const (
	builderKey = "builder-key-1"
	moverKey   = "mover-key-1"
)

// callFront makes a call of a client at an entry.
func (c *cell) callFront(ctx context.Context, n int, key, method, path string, body []byte) (status int, text []byte) {
	header := map[string]string{"Host": "work.example", word("keyHeader"): key, word("deadlineHeader"): "3000"}
	status, text, _ = c.call(ctx, 3*time.Second, method, "http://"+c.entryIP(n)+":"+frontPort+path, body, header)
	return status, text
}

// submit hands a job in until it is accepted.
func (c *cell) submit(ctx context.Context, key, path string, steps []map[string]any) error {
	body, err := json.Marshal(map[string]any{word("input"): "input of " + path, word("steps"): steps})
	if err != nil {
		return err
	}
	for n := range 10 {
		status, text := c.callFront(ctx, n, key, http.MethodPost, path, body)
		c.note("client: POST %s answered %d %s", path, status, strings.TrimSpace(string(text)))
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// jobState asks for the state of a job; empty if there is no answer.
func (c *cell) jobState(ctx context.Context, n int, key, path string) (state string, status int) {
	status, text := c.callFront(ctx, n, key, http.MethodGet, path, nil)
	var answer map[string]string
	if status == http.StatusOK && json.Unmarshal(text, &answer) == nil {
		return answer[word("state")], status
	}
	return "", status
}
