package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a client got for one request.
type Answer struct {
	id         string
	sent, done time.Time
	status     int // 0: no complete answer
	header     http.Header
	body       []byte
	err        error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call is one request of a client.
type Call struct {
	from, to string // source IP and address of the entry
	method   string
	path     string
	key      string
	deadline time.Duration
	body     string
	id       string
}

// do sends a request on a new connection.
func (c Call) do() Answer {
	if c.id == "" {
		c.id = newID()
	}
	a := Answer{id: c.id, sent: time.Now()}
	dialer := net.Dialer{Timeout: time.Second}
	if c.from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.from)}
	}
	conn, err := dialer.Dial("tcp", c.to)
	if err != nil {
		a.err, a.done = err, time.Now()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(a.sent.Add(c.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&text, "Credential: %s\r\n", c.key)
	}
	if c.body != "" || c.method != "GET" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	text.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		a.err, a.done = err, time.Now()
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		a.body, err = io.ReadAll(response.Body)
		a.header = response.Header
	}
	a.done = time.Now()
	if a.err = err; err == nil {
		a.status = response.StatusCode
	}
	return a
}
