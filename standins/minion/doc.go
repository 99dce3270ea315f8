// Package minion is a stand-in of the service process on an upstream VM. It keeps the
// contract of docs/design.md ("Minion and worker contracts"), counts the runs of every job,
// and reports a violation when a client uses more than its slots or connections.
package minion
