// Package place chooses the target of each request, and refuses requests that no target can serve in time. A Placer decides
// on plain values: callers pass in the time, the targets and the outcomes, and send the requests themselves (package pass).
//
// The choice depends on three loads. The capacity of regions decides the region of a key: a region keeps as much of its
// demand as its targets can carry, and the rest goes to other regions in proportion to their spare capacity. The load of a
// target, which combines its last report with the requests of this host, decides whether it still gets requests. The latency
// objective of a request and the work of its class decide how long the queue at the target may be.
//
// All requests for one object in a region go to one target, by rendezvous hashing. A target takes three times as long for an
// object that is not in its cache, so a second target costs more than a queue.
//
// Three optional features refine this. With copies, an object has a second target in another data centre of its region, which
// is used while the first one is busy or slow. With speeds, queues, the objects of a target and the capacity of regions follow
// what each target is found to take (package speed). With demand shares, regions are divided by their mean demand (package
// region).
package place
