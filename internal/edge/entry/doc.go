// Package entry decides which hosts the directory names to callers. Hosts differ in their links and processors, and callers spread
// their requests evenly over the hosts that they are told. A Selector names the hosts of a data centre with wide links, and
// further ones while those are loaded. The decision needs only the registrations; loads that hosts report can only add hosts.
package entry
