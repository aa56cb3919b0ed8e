package discovery

// This file owns how a client with a pacer comes back to a discovery that could not be asked. It must never tell one outage twice.

import (
	"context"
	"errors"
)

// paced tells the first failure of an outage and waits until discovery is to be called again.
func (c *Client) paced(ctx context.Context, err error) (more bool) {
	if !c.failed {
		c.tell(nil, err)
	}
	c.failed, c.hurry = true, true
	return c.comeBack(ctx, errors.As(err, new(*UnreachableError)))
}

// comeBack waits until discovery is to be called again; where it takes no connection, until it does. A move ends it, and
// so does ctx: false.
func (c *Client) comeBack(ctx context.Context, refused bool) bool {
	outer := ctx
	ctx, end := c.begin(ctx)
	defer end()
	if !refused {
		sleep(ctx, c.pacer.PollFailed())
		return outer.Err() == nil
	}
	for ctx.Err() == nil {
		sleep(ctx, c.pacer.ConnectDelay())
		knock, cancel := context.WithTimeout(ctx, c.pacer.PollTimeout())
		conn, err := connect(knock, c.addr, c.dial)
		cancel()
		if err == nil {
			c.idle = conn
			sleep(ctx, c.pacer.FirstPollDelay())
			break
		}
	}
	return outer.Err() == nil
}
