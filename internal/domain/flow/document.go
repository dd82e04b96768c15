package flow

import (
	"bytes"
	"crypto/sha256"
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// CheckDocument returns an error that describes why a configuration document is
// invalid, or nil. It is called before versions are compared, so an invalid
// document is refused whatever its version.
func CheckDocument(d *v1.Document) *code.Error {
	pools := map[string]bool{}
	for _, p := range d.GetPools() {
		if p.GetName() == "" || pools[p.GetName()] {
			return code.New(code.Malformed, "pool %q has an empty or duplicate name", p.GetName())
		}
		pools[p.GetName()] = true
	}
	if err := checkQueues(d.GetQueues(), pools); err != nil {
		return err
	}
	return checkCustomers(d.GetCustomers())
}

func checkQueues(queues []*v1.Queue, pools map[string]bool) *code.Error {
	type queueAddress struct{ host, path string }
	usedAddresses, names := map[queueAddress]bool{}, map[string]bool{}
	for _, q := range queues {
		address := queueAddress{q.GetHost(), q.GetPath()}
		switch {
		case q.GetName() == "" || names[q.GetName()]:
			return code.New(code.Malformed, "queue %q has an empty or duplicate name", q.GetName())
		case !pools[q.GetPool()]:
			return code.New(code.Malformed, "queue %s: unknown pool %q", q.GetName(), q.GetPool())
		case usedAddresses[address]:
			return code.New(code.Malformed, "queue %s: another queue has the address %s%s", q.GetName(), address.host, address.path)
		case q.GetTimeout() == 0:
			return code.New(code.Malformed, "queue %s: the timeout of a call is 0", q.GetName())
		}
		usedAddresses[address], names[q.GetName()] = true, true
	}
	return nil
}

func checkCustomers(customers []*v1.Customer) *code.Error {
	ownerByDigest, names := map[[sha256.Size]byte]string{}, map[string]bool{}
	for _, c := range customers {
		if c.GetName() == "" || names[c.GetName()] {
			return code.New(code.Malformed, "customer %q has an empty or duplicate name", c.GetName())
		}
		names[c.GetName()] = true
		for _, k := range c.GetKeys() {
			if len(k) != sha256.Size {
				return code.New(code.Malformed, "customer %s has a key digest of %d bytes", c.GetName(), len(k))
			}
			digest := [sha256.Size]byte(k)
			if owner, ok := ownerByDigest[digest]; ok && owner != c.GetName() {
				return code.New(code.Malformed, "customers %s and %s share a key", owner, c.GetName())
			}
			ownerByDigest[digest] = c.GetName()
		}
	}
	return nil
}

// Config is a configuration document with indexes for look-ups. It is immutable.
type Config struct {
	*v1.Document
	queueByName         map[string]*v1.Queue
	poolByName          map[string]*v1.Pool
	customerByName      map[string]*v1.Customer
	customerByKeyDigest map[[sha256.Size]byte]*v1.Customer
	queuesByHost        map[string][]*v1.Queue
}

// NewConfig indexes a valid document; nil stands for an empty document.
func NewConfig(d *v1.Document) *Config {
	c := &Config{
		Document: d, queueByName: map[string]*v1.Queue{}, poolByName: map[string]*v1.Pool{},
		customerByName: map[string]*v1.Customer{}, customerByKeyDigest: map[[sha256.Size]byte]*v1.Customer{}, queuesByHost: map[string][]*v1.Queue{},
	}
	for _, q := range d.GetQueues() {
		c.queueByName[q.GetName()] = q
		c.queuesByHost[q.GetHost()] = append(c.queuesByHost[q.GetHost()], q)
	}
	for _, p := range d.GetPools() {
		c.poolByName[p.GetName()] = p
	}
	for _, customer := range d.GetCustomers() {
		c.customerByName[customer.GetName()] = customer
		for _, k := range customer.GetKeys() {
			c.customerByKeyDigest[[sha256.Size]byte(k)] = customer
		}
	}
	return c
}

// SameText reports whether the text of the configuration equals that of d byte for
// byte.
func (c *Config) SameText(d *v1.Document) bool { return bytes.Equal(c.GetText(), d.GetText()) }

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (*v1.Queue, bool) {
	q, ok := c.queueByName[name]
	return q, ok
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (*v1.Pool, bool) {
	p, ok := c.poolByName[name]
	return p, ok
}

// Customer returns the customer with the given name.
func (c *Config) Customer(name string) (*v1.Customer, bool) {
	customer, ok := c.customerByName[name]
	return customer, ok
}

// KeyOwner returns the customer that owns the key with the given SHA-256 digest.
func (c *Config) KeyOwner(digest []byte) (*v1.Customer, bool) {
	if len(digest) != sha256.Size {
		return nil, false
	}
	customer, ok := c.customerByKeyDigest[[sha256.Size]byte(digest)]
	return customer, ok
}

// QueueAt returns the queue of the host whose path is the longest prefix of the
// given path, and the rest of the path after that prefix.
func (c *Config) QueueAt(host, path string) (q *v1.Queue, rest string, ok bool) {
	for _, candidate := range c.queuesByHost[host] {
		if strings.HasPrefix(path, candidate.GetPath()) && (q == nil || len(candidate.GetPath()) > len(q.GetPath())) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.GetPath()):], true
}
