package main

import (
	"context"
	"time"

	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/load/rig"
)

// rested is a row about a cell at rest.
type rested struct {
	Part    string `json:"part"`
	Servers int    `json:"servers"`
	// BytesPerServer is bytes a second between an entry and one idle backend server.
	BytesPerServer float64 `json:"bytes_per_s_per_server"`
	Usage          costs   `json:"costs"`
}

// rest is how long a cell at rest is measured.
const rest = 8 * time.Second

// idle measures a cell that has nothing to do.
func idle(ctx context.Context, b *bench) error {
	return b.cell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
		row, err := b.rest(ctx, r, b.Servers)
		if err != nil {
			return err
		}
		return emit(row)
	})
}

func (b *bench) rest(ctx context.Context, r *rig.Rig, servers int) (rested, error) {
	row := rested{Part: "idle", Servers: servers}
	fleet, err := r.StartFleet(ctx, servers, size(b.Slots))
	if err != nil {
		return row, err
	}
	defer fleet.Close()
	transport.Sleep(ctx, rig.SettleTime)
	from, err := take(r)
	if err != nil {
		return row, err
	}
	transport.Sleep(ctx, rest)
	to, err := take(r)
	if err != nil {
		return row, err
	}
	row.Usage = between(r, from, to)
	if servers > 0 {
		row.BytesPerServer = row.Usage.BackendBytes / float64(servers)
	}
	return row, nil
}
