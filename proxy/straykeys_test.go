package proxy

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/toucancove/toucancove/config"
)

func viewWithKey(tb testing.TB, key string) *config.View {
	tb.Helper()
	bodies := map[string]string{
		"keys/0": fmt.Sprintf("revision: 1\nshard: 0\nworkspaces: [{name: w, rate: 1, burst: 1, keys: [{digest: \"sha256:%x\"}]}]\n", sha256.Sum256([]byte(key))),
		"fleet":  "revision: 1\nclasses: [{name: c, target: {completion: 0.9, within: 1s}}]\nservices: [s]\nkeyShards: 1\n",
	}
	view := config.NewView()
	for name, body := range bodies {
		value, err := config.Parse(name, []byte(body), 1)
		if err != nil {
			tb.Fatal(err)
		}
		if view, err = view.With(value); err != nil {
			tb.Fatal(err)
		}
	}
	return view
}

func TestStrayKeys(t *testing.T) {
	view := viewWithKey(t, "key-hakata-7f3a")
	odd := viewWithKey(t, "abc.def+ghi=")
	tests := []struct {
		name, uri, header, value string
		view                     *config.View
		want                     int
	}{
		{"no key", "/a?b=c", "User-Agent", "curl/8 (x; y)", view, 0},
		{"query", "/a?k=key-hakata-7f3a&b=c", "X-A", "b", view, 1},
		{"escaped query", "/a?k=key%2Dhakata-7f3a", "X-A", "b", view, 1},
		{"path segment", "/a/key-hakata-7f3a/b", "X-A", "b", view, 1},
		{"cookie", "/a", "Cookie", "a=b; k=key-hakata-7f3a; c=d", view, 1},
		{"header value", "/a", "X-Debug", "key-hakata-7f3a", view, 1},
		{"quoted", "/a", "X-Debug", `{"key":"key-hakata-7f3a"}`, view, 1},
		{"after a colon", "/a", "X-Debug", "key:key-hakata-7f3a", view, 1},
		{"padding in the key", "/a", "X-Debug", "k=abc.def+ghi=", odd, 1},
		{"longer word", "/a", "X-Debug", "key-hakata-7f3ab", view, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var header fasthttp.RequestHeader
			header.SetRequestURI(tt.uri)
			header.Set(tt.header, tt.value)
			if found := strayKeys(tt.view, &header); len(found) != tt.want {
				t.Fatalf("found %q, want %d keys", found, tt.want)
			}
		})
	}
}

func BenchmarkStrayKeys(b *testing.B) {
	view := viewWithKey(b, "key-hakata-7f3a")
	var header fasthttp.RequestHeader
	header.SetRequestURI("/claims/settlements?work=5&size=200")
	for name, value := range map[string]string{
		"Host": "127.0.0.1:7000", "User-Agent": "Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko)",
		"Accept": "application/json, text/plain, */*", "Accept-Language": "en-GB,en;q=0.9", "Accept-Encoding": "gzip, deflate, br",
		"Cookie": "session=0123456789abcdef0123456789abcdef; theme=dark", "Content-Type": "application/json",
	} {
		header.Set(name, value)
	}
	b.ReportAllocs()
	for b.Loop() {
		if found := strayKeys(view, &header); len(found) > 0 {
			b.Fatal("found a key")
		}
	}
}
