// Package operator is the client with which operators change and inspect a cell.
package operator

import (
	"context"

	"connectrpc.com/connect"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/client/transport"
)

// linesPerPage is the number of lines requested per page.
const linesPerPage = 1000

// Client changes the settings of a cell and reads its state.
type Client struct {
	// Transport sends the calls to the entries.
	Transport *transport.Client
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

// Change makes one change and retries it with the same id until it is answered. It
// returns the revision of the team table, also if the change is refused.
func (c *Client) Change(ctx context.Context, req *v1.ChangeRequest) (uint64, error) {
	reply, err := transport.Call(ctx, c.Transport, changeMethod, req, (*v1.ChangeReply).GetStatus)
	if err != nil {
		return 0, err
	}
	return reply.GetRevision(), statusError(reply.GetStatus())
}

// Show reads all lines of a part, page by page. It starts again from the first page if
// the revision changes between two pages, because lines of different revisions would
// form an inconsistent table. If a page begins with the same line as the first page,
// the part is not divided into pages and is complete.
func (c *Client) Show(ctx context.Context, part v1.Part) (*v1.ShowReply, error) {
	all := &v1.ShowReply{}
	after, firstName := "", ""
	for {
		page, err := transport.Call(ctx, c.Transport, showMethod, &v1.ShowRequest{Part: part, After: after, Limit: linesPerPage}, (*v1.ShowReply).GetStatus)
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

// lineNames returns the names of the lines of a page. The last one is the position from
// which the next page is requested. It returns nil for a part without pages.
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

// Dump returns the state of one process as JSON text. An empty name stands for the
// entry that receives the call.
func (c *Client) Dump(ctx context.Context, process string) (string, error) {
	reply, err := transport.Call(ctx, c.Transport, dumpMethod, &v1.DumpRequest{Process: process}, (*v1.DumpReply).GetStatus)
	if err != nil {
		return "", err
	}
	return reply.GetText(), statusError(reply.GetStatus())
}

func statusError(s *v1.Status) error {
	if code.Code(s.GetCode()) != code.OK {
		return transport.StatusError(s)
	}
	return nil
}
