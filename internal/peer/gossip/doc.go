// Package gossip tells other hosts the use of quotas, what to spare when they are cut off from the platform, and changes of
// the platform's entries.
//
// Hosts of a data centre have a link to each other. One of them, the speaker, tells other data centres the sum of all: to two
// hosts of each, which pass it on within theirs. The speaker is the first host by id among those that are heard, so a data
// centre that is cut in two has two for a while, which does no harm. Messages grow with the hosts of a data centre and with
// the number of data centres, not with the number of pairs of hosts.
package gossip
