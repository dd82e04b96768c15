// Package access decides who may see, repeat and cancel a flow after the queues and the keys of a
// configuration have changed since its acceptance. It has no side effects.
package access

// Call is what is known of the call of a caller.
type Call struct {
	// Customer is the customer whose key the call carries; empty if it carries none.
	Customer string
	// Open is true if the queue of the call asks for no key.
	Open bool
	// SameAddress is true if the call is to the address at which the flow was accepted.
	SameAddress bool
}

// Allows reports whether a call may see, repeat and cancel a flow of a customer; empty for a flow
// that was accepted without a key. The flow is the customer's at any queue. At the address of its
// acceptance it is also found by calls that cannot carry the customer's key: a queue that has
// become open asks for none, and a flow without a customer has none.
func (c Call) Allows(customer string) bool {
	switch {
	case c.Customer == customer && (customer != "" || c.Open):
		return true
	case !c.SameAddress:
		return false
	}
	return c.Open || customer == "" && c.Customer != ""
}
