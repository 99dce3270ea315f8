// Package siteplatform is a stand-in of the users' platform on loopback. It speaks their wire
// over HTTP: the store's rows and feed, the list of minions, the machine service, and one
// address per machine on which the present minion of the machine answers. The models behind
// the wire are those of package fleet. The platform records what no system may do, see
// Platform.Violations.
package siteplatform
