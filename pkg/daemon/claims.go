package daemon

import (
	"context"

	"github.com/cuminroute/cuminroute/pkg/claim"
	"github.com/cuminroute/cuminroute/pkg/peer/service"
)

// claims lets the service client claim by a clerk. The clerk's own ticket is the handle of the client's.
type claims struct {
	clerk *claim.Claimer
}

// Claim implements service.Claimer.
func (c *claims) Claim(ctx context.Context, key service.ClaimKey) (service.Claim, error) {
	ticket, err := c.clerk.Claim(ctx, claim.Key{Workspace: key.Workspace, Key: key.Key, Content: key.Content})
	if err != nil {
		return service.Claim{}, err
	}
	return service.Claim{
		ID: ticket.ID, State: service.ClaimState(ticket.State), Handle: ticket,
		Response: service.Response{
			Status: ticket.Response.Status, ContentType: ticket.Response.ContentType, Body: ticket.Response.Body, Omitted: ticket.Response.Omitted,
		},
	}, nil
}

// Finish implements service.Claimer. It may be called again after an error.
func (c *claims) Finish(ctx context.Context, t service.Claim, answer service.Response) error {
	held, ok := t.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.clerk.Finish(ctx, held, claim.Response{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body})
}

// Abandon implements service.Claimer.
func (c *claims) Abandon(ctx context.Context, t service.Claim) error {
	held, ok := t.Handle.(claim.Claim)
	if !ok {
		return claim.ErrNotHeld
	}
	return c.clerk.Abandon(ctx, held)
}
