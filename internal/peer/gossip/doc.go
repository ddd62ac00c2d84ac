// Package gossip exchanges quota usage, hints about the platform, observations of targets and changes of the platform's
// entries between hosts. A Gossiper keeps the links of one host to its peers. Quotas are enforced by package share.
//
// Up to eight hosts of a data centre have a link to each other. In a larger data centre, all other hosts report to two
// leaders, which send the sum back to them. One host, the speaker, sends the sum of its data centre to each other data
// centre, alternating between two hosts there, which pass it on within theirs. Speaker and leaders are the first hosts by id
// among those that were heard recently, so a data centre that is partitioned has two sets for a while, which does no harm.
// Traffic grows with the hosts of a data centre and with the number of data centres, not with the number of pairs of hosts.
package gossip
