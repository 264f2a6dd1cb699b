package proxy

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/core/once"
	"github.com/toucancove/toucancove/core/routing"
)

const (
	// TicketPath is the path at which every entry issues tickets, by POST.
	TicketPath = "/.toucancove/ticket"
	// maxBootFetches is the number of instances that are tried for a boot id
	// before the issue of a ticket fails.
	maxBootFetches = 3
	// bootFetchTimeout bounds one fetch of a boot id.
	bootFetchTimeout = 500 * time.Millisecond
)

// BootFetcher returns the boot id of an instance's node, fetched from the node.
type BootFetcher func(ctx context.Context, instance config.Instance) (member.BootID, error)

// ticketIssuer chooses the instance for a ticket and signs it.
type ticketIssuer struct {
	router    Router
	signer    *once.Signer
	fetchBoot BootFetcher
}

// issuedTicket is the JSON body of the response to a request for a ticket.
type issuedTicket struct {
	Ticket  string    `json:"ticket"`
	Service string    `json:"service"`
	Expires time.Time `json:"expires"`
}

func (t *ticketIssuer) issue(ctx context.Context, service, workspace string) (issuedTicket, error) {
	instance, boot, err := t.choose(ctx, service)
	if err != nil {
		return issuedTicket{}, err
	}
	ticket := once.Ticket{
		Instance: instance, Boot: boot, Service: service, Workspace: workspace,
		Expires: time.Now().Add(once.DefaultLifetime).Truncate(time.Millisecond),
	}
	if _, err := rand.Read(ticket.ID[:]); err != nil {
		return issuedTicket{}, err
	}
	text, err := t.signer.Encode(ticket)
	if err != nil {
		return issuedTicket{}, err
	}
	return issuedTicket{Ticket: text, Service: service, Expires: ticket.Expires.UTC()}, nil
}

// choose returns an instance and its current boot id.
func (t *ticketIssuer) choose(ctx context.Context, service string) (member.InstanceID, member.BootID, error) {
	var request routing.Request
	for range maxBootFetches {
		route, err := t.router.Pick(service, request)
		if err != nil {
			return "", 0, err
		}
		boot, err := t.boot(ctx, route)
		t.router.Finished(route, Evidence{Err: context.Canceled})
		if err == nil {
			return route.Instance.ID, boot, nil
		}
		request.Exclude = append(request.Exclude, route.Instance.ID)
	}
	return "", 0, noInstance("no instance told its boot id")
}

func (t *ticketIssuer) boot(ctx context.Context, route Route) (member.BootID, error) {
	if boot, fresh := t.router.Boot(route); fresh {
		return boot, nil
	}
	ctx, cancel := context.WithTimeout(ctx, bootFetchTimeout)
	defer cancel()
	boot, err := t.fetchBoot(ctx, route.Instance)
	if err != nil {
		return 0, err
	}
	t.router.SetBoot(route, boot)
	return boot, nil
}

// issueTicket serves TicketPath.
func (e *Entry) issueTicket(ctx *fasthttp.RequestCtx, in *inbound) error {
	service := string(ctx.QueryArgs().Peek("service"))
	in.setKeys(e.cfg.View(), &ctx.Request.Header)
	if !ctx.IsPost() {
		return notRun(fasthttp.StatusMethodNotAllowed, ReasonMalformed, "tickets are issued by POST")
	}
	view := e.cfg.View()
	if absent(view, service) {
		return notRun(fasthttp.StatusNotFound, ReasonUnknownService, "no configuration of this service")
	}
	if _, ok := view.Service(service); !ok {
		return notReady()
	}
	in.service = service // set only for a published service, since it is logged
	if err := e.authenticateOrInherit(&ctx.Request.Header, in); err != nil {
		return err
	}
	issuer := ticketIssuer{router: e.cfg.Router, signer: e.cfg.Tickets, fetchBoot: e.cfg.FetchBoot}
	ticket, err := issuer.issue(context.Background(), in.service, in.claims.Workspace)
	if err != nil {
		return issueRefusal(err)
	}
	body, err := json.Marshal(ticket)
	if err != nil {
		return issueRefusal(err)
	}
	ctx.Response.SetStatusCode(fasthttp.StatusCreated)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.SetBody(body)
	return nil
}

func issueRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return notRun(fasthttp.StatusInternalServerError, ReasonInternal, "the ticket could not be issued")
}

// readTicket checks that the ticket of a request, if it has one, is valid for
// its service and workspace.
func (e *Entry) readTicket(header *fasthttp.RequestHeader, in *inbound) error {
	text := header.Peek(HeaderTicket)
	if len(text) == 0 {
		return nil
	}
	ticket, err := e.cfg.Tickets.Decode(string(text))
	if err != nil {
		return notRun(fasthttp.StatusBadRequest, ReasonTicketInvalid, err.Error())
	}
	if ticket.Service != in.service || ticket.Workspace != in.claims.Workspace {
		return notRun(fasthttp.StatusUnprocessableEntity, ReasonTicketMismatch, once.ErrMismatch.Error())
	}
	in.ticket, in.ticketText = &ticket, string(text)
	return nil
}

// attemptTicket makes the only attempt that a ticket allows, at the instance
// that it names.
func (e *Entry) attemptTicket(ctx context.Context, header *fasthttp.RequestHeader, in *inbound, body *requestBody) (*Response, error) {
	route, err := e.cfg.Router.Pin(in.service, in.ticket.Instance)
	if err != nil {
		return nil, err
	}
	return e.send(ctx, route, header, in, body)
}

// refusalForTicket returns the refusal for a request with a ticket. Only the
// node that the ticket names knows whether the request has run before, so a
// refusal by any other node has run state unknown.
func refusalForTicket(refusal *Refusal) *Refusal {
	if refusal.fromTicketNode {
		return refusal
	}
	changed := *refusal
	changed.Run = RunUnknown
	return &changed
}
