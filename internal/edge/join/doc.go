// Package join registers this host on the platform for as long as it runs. A Member renews the lease of the registration,
// and registers again if the lease is lost. Package belief reads which hosts are registered.
package join
