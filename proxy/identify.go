package proxy

import (
	"crypto/rand"
	"crypto/sha256"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/core/pass"
)

// defaultAttempts bounds the attempts of a root request over its whole call
// chain if the service's configuration sets no limit.
const defaultAttempts = 3

// identify checks the framing of a request and determines its service, route,
// workspace, class, ticket and deadline. Errors are *Refusal.
func (e *Entry) identify(ctx *fasthttp.RequestCtx, in *inbound) error {
	header := &ctx.Request.Header
	in.setKeys(e.cfg.View(), header)
	if err := checkFraming(header.RawHeaders()); err != nil {
		ctx.SetConnectionClose()
		return notRun(fasthttp.StatusBadRequest, ReasonMalformed, err.Error())
	}
	if err := e.findService(header, in); err != nil {
		return err
	}
	if uriContainsKey(header.RequestURI(), in.keys) {
		return notRun(fasthttp.StatusBadRequest, ReasonKeyInURL, "the key must not appear in the URL")
	}
	if err := e.authenticateOrInherit(header, in); err != nil {
		return err
	}
	if err := e.readTicket(header, in); err != nil {
		return err
	}
	return setDeadline(header, in, e.classBudget(in.claims.Class))
}

// setKeys sets the key that identifies the caller and the list of all keys in
// the request, none of which may be forwarded.
func (in *inbound) setKeys(view *config.View, header *fasthttp.RequestHeader) {
	in.keys = callerKeys(header)
	if len(in.keys) > 0 {
		in.key = in.keys[0]
	}
	in.keys = append(in.keys, strayKeys(view, header)...)
}

// authenticateOrInherit identifies a call of the node's own upstream by its
// pass and any other request by its key.
func (e *Entry) authenticateOrInherit(header *fasthttp.RequestHeader, in *inbound) error {
	if token := header.Peek(HeaderPass); e.cfg.Loopback && len(token) > 0 {
		return e.inherit(token, in)
	}
	return e.authenticate(in)
}

// findService splits the URI into the service and the URI for the upstream, and
// sets the route and what follows from it.
func (e *Entry) findService(header *fasthttp.RequestHeader, in *inbound) error {
	service, uri, err := splitService(string(header.RequestURI()))
	if err != nil {
		return notRun(fasthttp.StatusNotFound, ReasonUnknownService, err.Error())
	}
	view := e.cfg.View()
	published, ok := view.Service(service)
	if known := ok && instancesKnown(view, service); !known && !absent(view, service) {
		return notReady()
	}
	if !ok {
		return notRun(fasthttp.StatusNotFound, ReasonUnknownService, "no configuration of this service")
	}
	in.service, in.uri = service, uri // set only for a published service, since it is logged
	path, err := routePath(uri)
	if err != nil {
		return notRun(fasthttp.StatusBadRequest, ReasonMalformed, err.Error())
	}
	in.route = published.Match(string(header.Method()), path)
	in.claims.Class = in.route.Class
	in.claims.Attempts = defaultAttempts
	if published.Attempts > 0 {
		in.claims.Attempts = uint8(min(published.Attempts, 255))
	}
	return nil
}

// splitService takes the service from the first path element.
func splitService(uri string) (service, rest string, err error) {
	if !strings.HasPrefix(uri, "/") {
		return "", "", errNoServiceName
	}
	end := strings.IndexAny(uri[1:], "/?")
	if end < 0 {
		service, rest = uri[1:], "/"
	} else {
		service, rest = uri[1:1+end], uri[1+end:]
	}
	if service == "" {
		return "", "", errNoServiceName
	}
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return service, rest, nil
}

// authenticate gives a root request its id and finds its workspace by its key.
// Open routes need no key.
func (e *Entry) authenticate(in *inbound) error {
	in.root = true
	if _, err := rand.Read(in.claims.Request[:]); err != nil {
		return notRun(fasthttp.StatusInternalServerError, ReasonInternal, err.Error())
	}
	if in.route.Open {
		return nil
	}
	if len(in.key) == 0 {
		return notRun(fasthttp.StatusUnauthorized, ReasonKeyMissing, "no key was shown")
	}
	view := e.cfg.View()
	workspace, keyID, ok := view.LookupKey(sha256.Sum256(in.key))
	if !ok {
		return keyRefusal(view, ReasonKeyInvalid, "the key is not valid")
	}
	in.claims.Workspace, in.claims.KeyID = workspace, keyID
	return nil
}

// inherit takes the claims, among them workspace, class and time budget, from
// the pass of the request that the upstream is serving.
func (e *Entry) inherit(token []byte, in *inbound) error {
	claims, err := e.cfg.Signer.Verify(token, pass.KindUpstream, e.cfg.Instance)
	if err != nil {
		return notRun(fasthttp.StatusForbidden, ReasonPassInvalid, err.Error())
	}
	if view := e.cfg.View(); claims.KeyID != "" && !view.HasKey(claims.KeyID, claims.Workspace) {
		return keyRefusal(view, ReasonKeyWithdrawn, "the key is no longer valid")
	}
	if claims.Hop >= pass.MaxHops {
		return notRun(fasthttp.StatusLoopDetected, ReasonPassInvalid, "the call chain is too deep")
	}
	claims.Hop++
	in.claims = claims
	return nil
}

// classBudget returns the default time budget of a class, zero for an unknown
// class.
func (e *Entry) classBudget(class string) time.Duration {
	order := e.cfg.View().Order()
	rank, ok := order.Rank(class)
	if !ok {
		return 0
	}
	found, _ := order.Class(rank)
	return found.Target.Within
}

// setDeadline sets the deadline from the time budget: for a root request
// budget, which is that of its class, else the inherited one. HeaderTimeout can
// only shorten it.
func setDeadline(header *fasthttp.RequestHeader, in *inbound, budget time.Duration) error {
	if !in.root {
		budget = in.claims.Budget
	}
	if value := header.Peek(HeaderTimeout); len(value) > 0 {
		ms, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || ms == 0 {
			return notRun(fasthttp.StatusBadRequest, ReasonMalformed, HeaderTimeout+" is not a positive number of milliseconds")
		}
		requested := time.Duration(ms) * time.Millisecond
		budget = min(budget, requested)
	}
	if budget <= 0 {
		return notRun(fasthttp.StatusGatewayTimeout, ReasonDeadline, "no time left")
	}
	in.deadline = in.arrived.Add(budget)
	return nil
}
