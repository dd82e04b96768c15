package ingress

import (
	"github.com/go-logr/logr"

	"gypsumreel/internal/base/bounds"
)

// Gates are the accounts of a process. Each kind of client has one of its own, so that none takes
// the room of another. A Gate that is nil sets no limits.
type Gates struct {
	// Clients is for callers, operators, backend servers, health checks and metrics.
	Clients *Gate
	// Processes is for other processes of the cell.
	Processes *Gate
	// Peers is for the messages of control replicas to each other.
	Peers *Gate
}

// NewGates returns the accounts of a process on an instance with the given memory. A size of 0 MiB
// means unknown.
func NewGates(memoryMiB int64, log logr.Logger) Gates {
	room := bounds.RequestBytes(memoryMiB)
	return Gates{
		Clients:   &Gate{Name: "clients", RequestBytes: room, Log: log},
		Processes: &Gate{Name: "processes", RequestBytes: room, Trusted: true, Log: log},
		Peers:     &Gate{Name: "peers", RequestBytes: room, Trusted: true, Log: log},
	}
}
