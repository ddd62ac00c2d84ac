// Package belief keeps what this host knows of the platform: the plan, targets, emptied data centres and other hosts. A
// Follower updates an immutable View, and keeps what it knew while the platform is not reachable. Package join registers
// this host, and package gossip sends the messages between hosts.
//
// One host of a data centre watches the platform and relays the changes; when these stop, the others start to watch one
// after the other. One host of the fleet writes a snapshot to the platform, from which starting hosts load their entries.
package belief
