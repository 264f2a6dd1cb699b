package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendRaw writes bytes to a new connection and reads one response. It returns
// the response and whether the server then closed the connection.
func sendRaw(t *testing.T, address, request string) (got response, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	go func() { _, _ = io.WriteString(conn, request) }()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{err: err}, true
	}
	body, err := io.ReadAll(resp.Body)
	got = response{resp.StatusCode, resp.Header, string(body), err}
	if !resp.Close {
		return got, false
	}
	_, err = reader.ReadByte()
	return got, err != nil
}

// lines joins the lines of a request head and adds the empty line that ends it.
func lines(line ...string) string { return strings.Join(line, "\r\n") + "\r\n\r\n" }
