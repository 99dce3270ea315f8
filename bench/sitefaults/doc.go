// Package sitefaults runs entry VMs of the users' platform as real processes against package
// siteplatform, on loopback, with a fault proxy in front of every minion. While callers hand in
// short and long-running jobs and a maintenance wave runs, it injects faults drawn from a seed:
// dials that time out, new connections that are slow, connections reset, a silent minion, entry VMs
// paused, killed or restarted, alone and in series, a store that is down, slow or loses answers, and
// changes of the configuration. It judges by what callers and minions saw.
package sitefaults
