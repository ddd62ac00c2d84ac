// Package relay proxies requests from callers to targets. A Handler checks size limits, route, key, ticket and rate,
// selects a data centre, acquires capacity and streams the response; its PeerHandler serves requests that other hosts
// forward. Quotas, capacity, the choice of a target and membership come from the interfaces in Config.
package relay
