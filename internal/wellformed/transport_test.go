package wellformed

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/toucancove/toucancove/internal/standin/raw"
)

func TestBodyLimit(t *testing.T) {
	const limit = 10
	for size, want := range map[int]error{0: nil, limit - 1: nil, limit: nil, limit + 1: ErrTooLarge, 100 * limit: ErrTooLarge} {
		for _, chunked := range []bool{false, true} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if chunked {
					w.(http.Flusher).Flush()
				}
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))
			client := &http.Client{Transport: NewTransport(&http.Transport{}, limit)}
			response, err := client.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(iotest.HalfReader(response.Body))
			if !errors.Is(err, want) || len(body) != min(size, limit) {
				t.Errorf("%d bytes, chunked %v: %d bytes, %v, want %v", size, chunked, len(body), err, want)
			}
			_ = response.Body.Close()
			client.CloseIdleConnections()
			server.Close()
		}
	}
}

// What net/http accepts of a malformed head must not reach the readers that keep responses.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	const rest = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 Failed\r\n",
		"status 099":               "HTTP/1.1 099 Failed\r\n",
		"status 600":               "HTTP/1.1 600 Failed\r\n",
		"upgrade":                  "HTTP/1.1 101 Switching Protocols\r\n",
		"blank inside the name":    "HTTP/1.1 200 OK\r\nX Field: 1\r\n",
		"blank behind the name":    "HTTP/1.1 200 OK\r\nX-Field : 1\r\n",
		"control byte in the name": "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n",
		"delimiter in the name":    "HTTP/1.1 200 OK\r\nX(Field): 1\r\n",
	} {
		client := &http.Client{Transport: NewTransport(&http.Transport{}, 0)}
		if response, err := client.Get("http://" + raw.Start(t, head+rest).Address); err == nil {
			t.Errorf("%s: status %d, header %v", name, response.StatusCode, response.Header)
			_ = response.Body.Close()
		}
	}
}
