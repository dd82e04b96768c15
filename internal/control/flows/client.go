package flows

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/domain/flow"
)

// Client calls the other control replicas. The fields must be set before use.
type Client struct {
	Cell       string
	HTTPClient *http.Client
}

// TellStood tells the replicas at the addresses of a step at which the plan of this one did not end, and
// waits for their answers or the end of ctx. Another subject than a step is not told.
func (c *Client) TellStood(ctx context.Context, subject fmt.Stringer, addresses []string) {
	id, ok := subject.(flow.StepID)
	if !ok {
		return
	}
	m := &inner.StoodStep{Cell: c.Cell, Flow: id.Flow, Turn: id.Turn, Step: id.Step}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, address := range addresses {
		wg.Go(func() {
			// A replica that does not learn of the step plans it, and gives the lead up in turn.
			_, _ = inner.NewFlowsProtobufClient("http://"+address, c.HTTPClient).StepStood(ctx, m)
		})
	}
}
