package flow

import (
	"bytes"
	"crypto/sha256"
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// CheckDocument tells what is wrong with a configuration document, or nil. It
// is asked before versions are compared: an unsound document is refused
// whatever its number.
func CheckDocument(d *v1.Document) *code.Error {
	pools := map[string]bool{}
	for _, p := range d.GetPools() {
		if p.GetName() == "" || pools[p.GetName()] {
			return code.New(code.Malformed, "pool %q is unnamed or stands twice", p.GetName())
		}
		pools[p.GetName()] = true
	}
	if err := checkQueues(d.GetQueues(), pools); err != nil {
		return err
	}
	return checkCustomers(d.GetCustomers())
}

func checkQueues(queues []*v1.Queue, pools map[string]bool) *code.Error {
	type place struct{ host, path string }
	places, names := map[place]bool{}, map[string]bool{}
	for _, q := range queues {
		at := place{q.GetHost(), q.GetPath()}
		switch {
		case q.GetName() == "" || names[q.GetName()]:
			return code.New(code.Malformed, "queue %q is unnamed or stands twice", q.GetName())
		case !pools[q.GetPool()]:
			return code.New(code.Malformed, "queue %s: no pool %q", q.GetName(), q.GetPool())
		case places[at]:
			return code.New(code.Malformed, "queue %s: another one is at %s%s", q.GetName(), at.host, at.path)
		case q.GetTimeout() == 0:
			return code.New(code.Malformed, "queue %s: no time for a call", q.GetName())
		}
		places[at], names[q.GetName()] = true, true
	}
	return nil
}

func checkCustomers(customers []*v1.Customer) *code.Error {
	owners, names := map[[sha256.Size]byte]string{}, map[string]bool{}
	for _, c := range customers {
		if c.GetName() == "" || names[c.GetName()] {
			return code.New(code.Malformed, "customer %q is unnamed or stands twice", c.GetName())
		}
		names[c.GetName()] = true
		for _, k := range c.GetKeys() {
			digest := [sha256.Size]byte(k)
			if other, ok := owners[digest]; ok && other != c.GetName() {
				return code.New(code.Malformed, "customers %s and %s share a key", other, c.GetName())
			}
			owners[digest] = c.GetName()
		}
	}
	return nil
}

// Config is a document made ready to be asked. It is immutable.
type Config struct {
	*v1.Document
	queues    map[string]*v1.Queue
	pools     map[string]*v1.Pool
	customers map[string]*v1.Customer
	owners    map[[sha256.Size]byte]*v1.Customer
	hosts     map[string][]*v1.Queue
}

// NewConfig makes a sound document ready; nil stands for the empty one.
func NewConfig(d *v1.Document) *Config {
	c := &Config{
		Document: d, queues: map[string]*v1.Queue{}, pools: map[string]*v1.Pool{},
		customers: map[string]*v1.Customer{}, owners: map[[sha256.Size]byte]*v1.Customer{}, hosts: map[string][]*v1.Queue{},
	}
	for _, q := range d.GetQueues() {
		c.queues[q.GetName()] = q
		c.hosts[q.GetHost()] = append(c.hosts[q.GetHost()], q)
	}
	for _, p := range d.GetPools() {
		c.pools[p.GetName()] = p
	}
	for _, m := range d.GetCustomers() {
		c.customers[m.GetName()] = m
		for _, k := range m.GetKeys() {
			c.owners[[sha256.Size]byte(k)] = m
		}
	}
	return c
}

// SameText tells whether two documents were sent with the same bytes.
func (c *Config) SameText(d *v1.Document) bool { return bytes.Equal(c.GetText(), d.GetText()) }

// Queue returns a queue by its name.
func (c *Config) Queue(name string) (*v1.Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Pool returns a pool by its name.
func (c *Config) Pool(name string) (*v1.Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Customer returns a customer by its name.
func (c *Config) Customer(name string) (*v1.Customer, bool) {
	m, ok := c.customers[name]
	return m, ok
}

// KeyOwner returns the customer that a key belongs to, by the key's SHA-256.
func (c *Config) KeyOwner(digest []byte) (*v1.Customer, bool) {
	if len(digest) != sha256.Size {
		return nil, false
	}
	m, ok := c.owners[[sha256.Size]byte(digest)]
	return m, ok
}

// QueueAt returns the queue at a place, the one with the longest path that the given
// path begins with, and the rest of the path.
func (c *Config) QueueAt(host, path string) (q *v1.Queue, rest string, ok bool) {
	for _, one := range c.hosts[host] {
		if strings.HasPrefix(path, one.GetPath()) && (q == nil || len(one.GetPath()) > len(q.GetPath())) {
			q = one
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.GetPath()):], true
}
