// Package site defines the types that the coordinator of a site and its entry VMs use for the
// platform: the configuration, minions, machines and maintenance waves, and the interfaces for
// orders to minions and machines. It performs no I/O; package platform at the top of the
// repository translates between these types and the users' platform.
package site
