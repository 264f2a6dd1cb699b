package config

import "strings"

// Match returns the route of a request: the one with the longest matching path,
// and among equal paths the one that names the method. A request that matches no
// route has the default class and needs a key. Requests of the methods GET,
// HEAD and OPTIONS are always idempotent. The path must be normalized.
func (v *Service) Match(method, path string) Route {
	best := Route{Class: v.DefaultClass}
	for _, r := range v.Routes {
		if r.matches(method, path) && r.moreSpecific(best) {
			best = r
		}
	}
	best.Idempotent = best.Idempotent || idempotentMethod(method)
	return best
}

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(r.Path, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// moreSpecific reports whether r takes precedence over another matching route.
func (r Route) moreSpecific(than Route) bool {
	length, thanLength := len(strings.TrimSuffix(r.Path, "/")), len(strings.TrimSuffix(than.Path, "/"))
	if length != thanLength {
		return length > thanLength
	}
	return than.Path == "" || r.Method != ""
}

func idempotentMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
