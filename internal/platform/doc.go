// Package platform is the client of the platform's services: the transactional
// table service, the object store and the list of VMs. All calls pass a per-daemon
// request budget with priorities and a circuit breaker.
package platform
