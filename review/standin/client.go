package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path, Body string
	Deadline                     time.Duration
	// Chunked sends the body in chunks instead of with a length.
	Chunked bool
	Headers []string
	// BytesPerSecond is how fast the client reads the answer, 0 for no limit.
	BytesPerSecond int
	// OnHead is called once the head of the answer has been received.
	OnHead func()
}

// Answer is what a client has received. Status is 0 if there is no answer. Whole is
// set if the body is complete.
type Answer struct {
	Status    int
	Signature string
	ID        string
	Body      int
	Whole     bool
	Err       error
	Took      time.Duration
}

// Client is a client with one kept connection.
type Client struct {
	from, to string
	conn     net.Conn
	reader   *bufio.Reader
}

// NewClient returns a client at one loopback address that talks to another.
func NewClient(from, to string) *Client { return &Client{from: from, to: to} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Client) connect() error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	conn, err := dialer.Dial("tcp", c.to)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// Do sends a request and reads its answer.
func (c *Client) Do(r Request) Answer {
	started := time.Now()
	answer := c.exchange(r)
	answer.Took = time.Since(started)
	if answer.Err != nil || !answer.Whole {
		c.Close()
	}
	return answer
}

func (c *Client) exchange(r Request) Answer {
	if err := c.connect(); err != nil {
		return Answer{Err: err}
	}
	if err := c.conn.SetDeadline(time.Now().Add(r.Deadline + time.Second)); err != nil {
		return Answer{Err: err}
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	for i := 0; i+1 < len(r.Headers); i += 2 {
		text += r.Headers[i] + ": " + r.Headers[i+1] + "\r\n"
	}
	body := r.Body
	switch {
	case r.Chunked:
		text += "Transfer-Encoding: chunked\r\n"
		body = chunked(r.Body)
	case r.Body != "" || r.Method == "POST":
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := c.conn.Write([]byte(text + "\r\n" + body)); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	if r.OnHead != nil {
		r.OnHead()
	}
	answer := Answer{
		Status: response.StatusCode, Signature: response.Header.Get("Server-Signature"), ID: response.Header.Get("Request-Id"),
	}
	answer.Body, answer.Err = readBody(response.Body, r.BytesPerSecond)
	answer.Whole = answer.Err == nil
	if response.Close {
		c.Close()
	}
	return answer
}

// chunked returns a body in chunks of up to 16 KiB.
func chunked(body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(len(body), 16<<10)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// readBody reads a body, at a rate if that is not 0. It returns an error if the body is
// not complete.
func readBody(body io.Reader, perSecond int) (int, error) {
	started, total := time.Now(), 0
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if perSecond > 0 {
			due := started.Add(time.Duration(float64(total) / float64(perSecond) * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
	}
}
