package proxy

import (
	"errors"
	"strings"
	"testing"
)

func TestCheckFraming(t *testing.T) {
	tests := []struct {
		name, raw string
		want      error
	}{
		{"length only", "Host: a\r\nContent-Length: 5\r\n", nil},
		{"transfer encoding only", "Host: a\r\nTransfer-Encoding: chunked\r\n", nil},
		{"both", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", errAmbiguousFraming},
		{"both, in mixed case", "content-LENGTH: 5\ntransfer-encoding: chunked\n", errAmbiguousFraming},
		{"header name in a value", "X-A: Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := checkFraming([]byte(tt.raw)); !errors.Is(err, tt.want) {
				t.Fatalf("checkFraming = %v, want %v", err, tt.want)
			}
		})
	}
}

func TestRoutePath(t *testing.T) {
	tests := []struct {
		uri, path string
		want      error
	}{
		{"/settlements?work=1", "/settlements", nil},
		{"/", "/", nil},
		{"/a/", "/a/", nil},
		{"/%73ettlements", "/settlements", nil},
		{"/open/../settlements", "", errPathNotNormal},
		{"/open/%2e%2e/settlements", "", errPathNotNormal},
		{"/open/.%2E/settlements", "", errPathNotNormal},
		{"/open%2f..%2fsettlements", "", errPathNotNormal},
		{"/open/..\\settlements", "", errPathNotNormal},
		{"/open//settlements", "", errPathNotNormal},
		{"/open/..;x/settlements", "", errPathNotNormal},
		{"/open/;x/settlements", "", errPathNotNormal},
		{"/settlements;x=1/a;b", "/settlements/a", nil},
		{"/a%00b", "", errPathNotNormal},
		{"/a%zz", "", errPathNotNormal},
	}
	for _, tt := range tests {
		t.Run(tt.uri, func(t *testing.T) {
			path, err := routePath(tt.uri)
			if path != tt.path || !errors.Is(err, tt.want) {
				t.Fatalf("routePath = %q, %v; want %q, %v", path, err, tt.path, tt.want)
			}
		})
	}
}

func FuzzRoutePath(f *testing.F) {
	f.Add("/open/../settlements")
	f.Add("/%2e%2e/x")
	f.Fuzz(func(t *testing.T, uri string) {
		path, err := routePath(uri)
		if err != nil {
			return
		}
		for _, segment := range strings.Split(path, "/") {
			if segment == "." || segment == ".." {
				t.Fatalf("routePath(%q) = %q keeps a dot segment", uri, path)
			}
		}
	})
}
