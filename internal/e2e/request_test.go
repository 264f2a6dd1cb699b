package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/toucancove/toucancove/internal/standin/upstream"
)

// response is an HTTP response with its whole body, or the error that ended the
// request.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// reason and run return the reason of a refusal and whether it states that the
// request ran.
func (r response) reason() string { return r.header.Get("Toucancove-Reason") }
func (r response) run() string    { return r.header.Get("Toucancove-Run") }

// send sends one request to the public listener of a node on its own
// connection. Header lines are given as name, value pairs.
func send(n *node, method, path, key string, body []byte, header ...string) response {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	return sendWith(&http.Client{Transport: transport}, n.public, method, path, key, body, header...)
}

// sendWith sends one request with a client to an address.
func sendWith(client *http.Client, address, method, path, key string, body []byte, header ...string) response {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

// records returns what an upstream process recorded of its requests.
func (s *standin) records(t *testing.T) upstream.Records {
	t.Helper()
	resp, err := http.Get("http://" + s.address + "/admin/records")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var records upstream.Records
	if err := json.NewDecoder(resp.Body).Decode(&records); err != nil {
		t.Fatal(err)
	}
	return records
}

// setFaults replaces the faults of an upstream process.
func (s *standin) setFaults(t *testing.T, faults upstream.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+s.address+"/admin/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
