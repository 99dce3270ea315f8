// Package site holds what the coordinator of a site and its entry VMs need to know of the
// platform: the configuration in force, minions, machines and maintenance waves, and the
// interfaces through which orders go out. It performs no I/O; package platform at the top
// of the repository translates between these types and the users' platform.
package site
