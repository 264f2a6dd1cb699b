// Package valuestore is a client of the platform's configuration service, which
// serves published values over HTTP. A read can wait for a newer revision (long
// polling), which makes it a watch; the service counts it as one call.
//
//	GET /v1/values/<name>?after=<revision>&wait=<milliseconds>
//
// responds with 200, the body and the header X-Revision; 304 if no revision newer
// than after is published by the end of the wait; 404 if the value is unknown;
// 429 above the service's rate limit; and 503 while the service is down.
package valuestore

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/toucancove/toucancove/config"
	"github.com/toucancove/toucancove/internal/wellformed"
)

const (
	// ValuesPath is the path prefix of the names of values.
	ValuesPath = "/v1/values/"
	// RevisionHeader contains the revision of the value in the body.
	RevisionHeader = "X-Revision"

	dialTimeout = time.Second
	// responseMargin is the time allowed for a response beyond its wait.
	responseMargin     = 2 * time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConnections = 64
)

// Errors of reads.
var (
	// ErrNotModified means that there is no revision newer than the given one.
	ErrNotModified = eris.New("value is not modified")
	// ErrNotFound means that the platform doesn't know the value.
	ErrNotFound = eris.New("value is not published")
	// ErrUnavailable means that the platform could not be reached or is down.
	ErrUnavailable = eris.New("platform is unavailable")
	// ErrThrottled means that the platform refused a call above its rate limit.
	ErrThrottled = eris.New("call exceeds the rate limit of the platform")
	// ErrTooLarge means that a body exceeds config.MaxBytes.
	ErrTooLarge = eris.New("value is too large")
	// ErrMalformed means that a response violates the protocol.
	ErrMalformed = eris.New("malformed response of the platform")
	// ErrAddress means that an address is not an IP address with a port.
	ErrAddress = eris.New("platform address must be an IP address and a port")
)

// Value is a published value that is not validated yet.
type Value struct {
	Name     string
	Revision config.Revision
	Body     []byte
}

// Client reads from one address of the platform. It is safe for concurrent use.
// It uses net/http, whose requests end with their context also while they wait.
type Client struct {
	base url.URL
	http *http.Client
}

// NewClient returns a client for the platform at an IP address and port. It
// returns ErrAddress for any other address.
func NewClient(address string) (*Client, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, eris.Wrapf(ErrAddress, "%q", address)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base: url.URL{Scheme: "http", Host: address},
		http: &http.Client{Transport: wellformed.NewTransport(transport, config.MaxBytes)},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads the value if its revision is greater than after. If there is none, it
// waits up to wait for one to be published. Errors wrap one of the errors of this
// package, or that of the context.
func (c *Client) Get(ctx context.Context, name string, after config.Revision, wait time.Duration) (Value, error) {
	bounded, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, c.url(name, after, wait), nil)
	if err != nil {
		return Value{}, eris.Wrap(ErrMalformed, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Value{}, transportError(ctx, err)
	}
	defer response.Body.Close() //nolint:errcheck // the body was read completely or is not used
	if err := statusError(response.StatusCode); err != nil {
		return Value{}, eris.Wrap(err, name)
	}
	return readValue(ctx, name, response)
}

func (c *Client) url(name string, after config.Revision, wait time.Duration) string {
	u := c.base
	u.Path = ValuesPath + name
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	u.RawQuery = query.Encode()
	return u.String()
}

func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return eris.Wrap(ctx.Err(), "read value from platform")
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrNotModified
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrThrottled
	default:
		return ErrUnavailable
	}
}

func readValue(ctx context.Context, name string, response *http.Response) (Value, error) {
	revision, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, eris.Wrapf(ErrMalformed, "%s: invalid header %s", name, RevisionHeader)
	}
	if response.ContentLength > config.MaxBytes {
		return Value{}, eris.Wrap(ErrTooLarge, name)
	}
	body, err := io.ReadAll(response.Body)
	if errors.Is(err, wellformed.ErrTooLarge) {
		return Value{}, eris.Wrap(ErrTooLarge, name)
	}
	if err != nil {
		return Value{}, transportError(ctx, err)
	}
	return Value{Name: name, Revision: config.Revision(revision), Body: body}, nil
}
