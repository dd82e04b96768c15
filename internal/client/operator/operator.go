// Package operator is the client of whoever is on duty.
package operator

import (
	"context"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
)

// pageSize is the number of lines asked for at once.
const pageSize = 1000

// Client makes changes and reads the state.
type Client struct {
	Transport *transport.Client
}

func change(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Change
}

func show(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Show
}

func dump(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.DumpRequest]) (*connect.Response[v1.DumpReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Dump
}

// Change makes one change, asked for with the same id until it is answered. It
// returns the table's revision, also with a refusal.
func (c *Client) Change(ctx context.Context, req *v1.ChangeRequest) (uint64, error) {
	r, err := transport.Call(ctx, c.Transport, change, req, (*v1.ChangeReply).GetStatus)
	if err != nil {
		return 0, err
	}
	return r.GetRevision(), refused(r.GetStatus())
}

// Show reads all lines of a part. It guards against a table that changes between
// two pages: lines of different revisions would make a table that never was, so
// it begins anew. A page that begins like the first one means that the part is
// not cut into pages.
func (c *Client) Show(ctx context.Context, part v1.Part) (*v1.ShowReply, error) {
	whole := &v1.ShowReply{}
	after, head := "", ""
	for {
		r, err := transport.Call(ctx, c.Transport, show, &v1.ShowRequest{Part: part, After: after, Limit: pageSize}, (*v1.ShowReply).GetStatus)
		if err != nil {
			return nil, err
		}
		if err := refused(r.GetStatus()); err != nil {
			return nil, err
		}
		if after != "" && r.GetRevision() != whole.GetRevision() {
			whole, after = &v1.ShowReply{}, ""
			continue
		}
		names := lines(r, part)
		if after == "" {
			join(whole, r)
		}
		if len(names) == 0 || after != "" && names[0] == head {
			return whole, nil
		}
		if after == "" {
			head = names[0]
		} else {
			join(whole, r)
		}
		after = names[len(names)-1]
	}
}

func join(whole, r *v1.ShowReply) {
	whole.Revision = r.GetRevision()
	whole.Rows = append(whole.Rows, r.GetRows()...)
	whole.Held = append(whole.Held, r.GetHeld()...)
	whole.Keys = append(whole.Keys, r.GetKeys()...)
	whole.Servers = append(whole.Servers, r.GetServers()...)
	whole.Members = append(whole.Members, r.GetMembers()...)
	whole.Zones = append(whole.Zones, r.GetZones()...)
	whole.Jobs = append(whole.Jobs, r.GetJobs()...)
}

// lines returns the names of a page's lines, by which the next page is asked
// for; none for a part that always comes whole.
func lines(r *v1.ShowReply, part v1.Part) []string {
	switch part {
	case v1.Part_PART_TABLE:
		return names(r.GetRows(), (*v1.Row).GetTeam)
	case v1.Part_PART_KEYS:
		return names(r.GetKeys(), (*v1.KeyLine).GetId)
	case v1.Part_PART_SERVERS:
		return names(r.GetServers(), (*v1.ServerLine).GetServer)
	case v1.Part_PART_JOBS:
		return names(r.GetJobs(), func(j *v1.Summary) string { return j.GetTeam() + "/" + j.GetId() })
	}
	return nil
}

func names[T any](all []T, name func(T) string) []string {
	out := make([]string, len(all))
	for i, one := range all {
		out[i] = name(one)
	}
	return out
}

// Dump returns the state of one process as JSON text; an empty name stands for
// the entry that answers.
func (c *Client) Dump(ctx context.Context, process string) (string, error) {
	r, err := transport.Call(ctx, c.Transport, dump, &v1.DumpRequest{Process: process}, (*v1.DumpReply).GetStatus)
	if err != nil {
		return "", err
	}
	return r.GetText(), refused(r.GetStatus())
}

func refused(s *v1.Status) error {
	if code.Code(s.GetCode()) != code.OK {
		return transport.StatusError(s)
	}
	return nil
}
