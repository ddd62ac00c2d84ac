package relay

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"monsoonhub.example/steer"
)

// reservedPrefix is the path prefix of the health, load and control endpoints of targets. No route matches it.
const reservedPrefix = "/target"

// route is a route of a service in the form used for matching.
type route struct {
	methods    []string
	prefix     string
	open       bool
	idempotent *bool
	class      steer.Class
}

// newRoutes returns the routes sorted by descending length of the prefix. At equal length, routes that list methods come
// first.
func newRoutes(list []steer.Route) []route {
	routes := make([]route, 0, len(list))
	for _, r := range list {
		class := r.Class
		if class == "" {
			class = steer.ClassNormal
		}
		routes = append(routes, route{
			methods:    r.Methods,
			prefix:     strings.TrimSuffix(r.Prefix, "/"),
			open:       r.Open,
			idempotent: r.Idempotent,
			class:      class,
		})
	}
	slices.SortStableFunc(routes, func(a, b route) int {
		if n := len(b.prefix) - len(a.prefix); n != 0 {
			return n
		}
		return rank(a) - rank(b)
	})
	return routes
}

func rank(r route) int {
	if len(r.methods) == 0 {
		return 1
	}
	return 0
}

// matches reports whether the route matches a request. A prefix matches whole path segments only, so that an open route
// "/news" does not open "/newsletter".
func (r *route) matches(method, p string) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(p, r.prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (r *route) isIdempotent(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// splitPath returns the name of the service and the path below it, escaped and decoded. The prefix is callerPrefix or
// peerPrefix.
func splitPath(u *url.URL, prefix string) (name, escapedPath, decodedPath string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), prefix)
	if !ok {
		return "", "", "", refuse(steer.NotRun, steer.ReasonNoRoute, nil)
	}
	name, below, _ := strings.Cut(rest, "/")
	escapedPath = "/" + below
	decodedPath, err = url.PathUnescape(escapedPath)
	if err != nil {
		return "", "", "", refuse(steer.NotRun, steer.ReasonBadRequest, err)
	}
	if !isClean(decodedPath) {
		return "", "", "", refuse(steer.NotRun, steer.ReasonBadRequest, errPath)
	}
	return name, escapedPath, decodedPath, nil
}

// isClean reports whether a path has neither empty nor dot segments. A target could resolve such segments to a path of
// another route than the matched one.
func isClean(p string) bool {
	clean := path.Clean(p)
	return clean == p || clean+"/" == p
}

// findRoute returns the service and the route for a method and a decoded path below the service. Its error is a
// *steer.Refusal.
func findRoute(v *view, name, method, decodedPath string) (*service, *route, error) {
	s := v.services[name]
	if s == nil {
		return nil, nil, refuse(steer.NotRun, steer.ReasonNoRoute, nil)
	}
	if decodedPath == reservedPrefix || strings.HasPrefix(decodedPath, reservedPrefix+"/") {
		return nil, nil, refuse(steer.NotRun, steer.ReasonNoRoute, nil)
	}
	for i := range s.routes {
		if s.routes[i].matches(method, decodedPath) {
			return s, &s.routes[i], nil
		}
	}
	return nil, nil, refuse(steer.NotRun, steer.ReasonNoRoute, nil)
}
