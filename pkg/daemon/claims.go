package daemon

import (
	"context"
	"sync"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
)

// claims lets the service client claim by a clerk. It keeps the clerk's tickets of claims that
// are running, since the client's tickets hold only their IDs.
type claims struct {
	clerk *claim.Clerk
	won   sync.Map // won maps a claim ID to its claim.Ticket.
}

// Claim implements service.Claimer.
func (c *claims) Claim(ctx context.Context, key service.ClaimKey) (service.ClaimTicket, error) {
	ticket, err := c.clerk.Claim(ctx, claim.Key{Workspace: key.Workspace, Key: key.Key, Content: key.Content})
	if err != nil {
		return service.ClaimTicket{}, err
	}
	if ticket.State == claim.Won {
		c.won.Store(ticket.ID, ticket)
	}
	return service.ClaimTicket{
		ID: ticket.ID, State: service.ClaimState(ticket.State),
		Answer: service.Answer{Status: ticket.Answer.Status, ContentType: ticket.Answer.ContentType, Body: ticket.Answer.Body},
	}, nil
}

// Finish implements service.Claimer.
func (c *claims) Finish(ctx context.Context, t service.ClaimTicket, answer service.Answer) error {
	held, ok := c.won.LoadAndDelete(t.ID)
	if !ok {
		return claim.ErrLost
	}
	return c.clerk.Finish(ctx, held.(claim.Ticket), claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
}

// Abandon implements service.Claimer.
func (c *claims) Abandon(ctx context.Context, t service.ClaimTicket) error {
	held, ok := c.won.LoadAndDelete(t.ID)
	if !ok {
		return claim.ErrLost
	}
	return c.clerk.Abandon(ctx, held.(claim.Ticket))
}
