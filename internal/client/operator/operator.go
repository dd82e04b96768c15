// Package operator is the client of whoever is on duty.
package operator

import (
	"context"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/link"
)

// pageSize is the number of lines asked for at once.
const pageSize = 1000

// Client makes changes and reads the state.
type Client struct {
	Link *link.Link
}

func changeMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ChangeRequest]) (*connect.Response[v1.ChangeReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Change
}

func showMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.ShowRequest]) (*connect.Response[v1.ShowReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Show
}

func dumpMethod(c connect.HTTPClient, base string, opts ...connect.ClientOption) func(context.Context, *connect.Request[v1.DumpRequest]) (*connect.Response[v1.DumpReply], error) {
	return v1.NewOperatorClient(c, base, opts...).Dump
}

// Change makes one change, asked for with the same id until it is answered. It
// returns the table's revision, also with a refusal.
func (c *Client) Change(ctx context.Context, req *v1.ChangeRequest) (uint64, error) {
	reply, err := link.Call(ctx, c.Link, changeMethod, req, (*v1.ChangeReply).GetStatus)
	if err != nil {
		return 0, err
	}
	return reply.GetRevision(), statusError(reply.GetStatus())
}

// Show reads all lines of a part. It guards against a table that changes between
// two pages: lines of different revisions would make a table that never was, so
// it begins anew. A page that begins like the first one means that the part is
// not cut into pages.
func (c *Client) Show(ctx context.Context, part v1.Part) (*v1.ShowReply, error) {
	all := &v1.ShowReply{}
	after, firstName := "", ""
	for {
		page, err := link.Call(ctx, c.Link, showMethod, &v1.ShowRequest{Part: part, After: after, Limit: pageSize}, (*v1.ShowReply).GetStatus)
		if err != nil {
			return nil, err
		}
		if err := statusError(page.GetStatus()); err != nil {
			return nil, err
		}
		if after != "" && page.GetRevision() != all.GetRevision() {
			all, after = &v1.ShowReply{}, ""
			continue
		}
		names := lineNames(page, part)
		if after == "" {
			appendPage(all, page)
		}
		if len(names) == 0 || after != "" && names[0] == firstName {
			return all, nil
		}
		if after == "" {
			firstName = names[0]
		} else {
			appendPage(all, page)
		}
		after = names[len(names)-1]
	}
}

func appendPage(all, page *v1.ShowReply) {
	all.Revision = page.GetRevision()
	all.Rows = append(all.Rows, page.GetRows()...)
	all.Held = append(all.Held, page.GetHeld()...)
	all.Keys = append(all.Keys, page.GetKeys()...)
	all.Servers = append(all.Servers, page.GetServers()...)
	all.Members = append(all.Members, page.GetMembers()...)
	all.Zones = append(all.Zones, page.GetZones()...)
	all.Jobs = append(all.Jobs, page.GetJobs()...)
}

// lineNames returns the names of a page's lines, by which the next page is asked
// for; none for a part that always comes whole.
func lineNames(page *v1.ShowReply, part v1.Part) []string {
	switch part {
	case v1.Part_PART_TABLE:
		return mapNames(page.GetRows(), (*v1.Row).GetTeam)
	case v1.Part_PART_KEYS:
		return mapNames(page.GetKeys(), (*v1.KeyLine).GetId)
	case v1.Part_PART_SERVERS:
		return mapNames(page.GetServers(), (*v1.ServerLine).GetServer)
	case v1.Part_PART_JOBS:
		return mapNames(page.GetJobs(), func(j *v1.Summary) string { return j.GetTeam() + "/" + j.GetId() })
	}
	return nil
}

func mapNames[T any](lines []T, name func(T) string) []string {
	names := make([]string, len(lines))
	for i, line := range lines {
		names[i] = name(line)
	}
	return names
}

// Dump returns the state of one process as JSON text; an empty name stands for
// the entry that answers.
func (c *Client) Dump(ctx context.Context, process string) (string, error) {
	reply, err := link.Call(ctx, c.Link, dumpMethod, &v1.DumpRequest{Process: process}, (*v1.DumpReply).GetStatus)
	if err != nil {
		return "", err
	}
	return reply.GetText(), statusError(reply.GetStatus())
}

func statusError(s *v1.Status) error {
	if code.Code(s.GetCode()) != code.OK {
		return link.StatusError(s)
	}
	return nil
}
