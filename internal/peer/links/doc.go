// Package links connects the hosts of the fleet. A Mesh opens and accepts authenticated WebSocket links, exchanges
// heartbeats and requests encoded as CBOR over them, and keeps the table of members. It implements steer.Peers; it does
// not interpret the requests, which the handlers registered with Mesh.Handle answer.
package links
