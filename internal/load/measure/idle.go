package main

import (
	"context"
	"time"

	"gypsumreel/internal/client/transport"
	"gypsumreel/internal/load/rig"
)

// idleRow is the output row of an idle cell.
type idleRow struct {
	Measurement string `json:"part"`
	Servers     int    `json:"servers"`
	// BytesPerServer is the traffic between an entry and one idle backend server, in
	// bytes per second.
	BytesPerServer float64   `json:"bytes_per_s_per_server"`
	Usage          cellUsage `json:"costs"`
}

// idleDuration is how long an idle cell is measured.
const idleDuration = 8 * time.Second

// measureIdle measures the resource usage of a cell without jobs.
func measureIdle(ctx context.Context, m *measurement) error {
	return m.withCell(ctx, entries, func(ctx context.Context, r *rig.Rig) error {
		row, err := m.runIdle(ctx, r, m.Servers)
		if err != nil {
			return err
		}
		return printRow(row)
	})
}

func (m *measurement) runIdle(ctx context.Context, r *rig.Rig, servers int) (idleRow, error) {
	row := idleRow{Measurement: "idle", Servers: servers}
	fleet, err := r.StartFleet(ctx, servers, serverCapacity(m.Slots))
	if err != nil {
		return row, err
	}
	defer fleet.Close()
	transport.Sleep(ctx, rig.SettleTime)
	before, err := takeSample(r)
	if err != nil {
		return row, err
	}
	transport.Sleep(ctx, idleDuration)
	after, err := takeSample(r)
	if err != nil {
		return row, err
	}
	row.Usage = usageBetween(r, before, after)
	if servers > 0 {
		row.BytesPerServer = row.Usage.BackendBytes / float64(servers)
	}
	return row, nil
}
