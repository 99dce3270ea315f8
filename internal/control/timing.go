package control

import "time"

const (
	// LeaseTTL is how long a lease, a confirmation or a message of the coordinator holds
	// (D2). With the margin, a read interval, a check interval and a registration it stays
	// below the 2.2 s in which urgent work must start.
	LeaseTTL = 1300 * time.Millisecond
	// leaseMargin is added to the TTL before another entry VM takes an unchanged lease:
	// it covers the difference between two monotonic clocks over the TTL.
	leaseMargin = 100 * time.Millisecond
	// registerWait is the least time that a takeover gives to a member that was not heard
	// within the TTL, so that a merely idle connection does not count as a dead one.
	registerWait = 100 * time.Millisecond
	// takeGap is the mean wait after a write of the lease row that had no effect.
	takeGap    = 250 * time.Millisecond
	renewEvery = 400 * time.Millisecond
	// leaseCallTimeout leaves time for a read-back within the TTL.
	leaseCallTimeout = 800 * time.Millisecond
	// leaseReadFast is the poll interval of the entry VMs that would take over first
	// (fastReaders of them), leaseReadSlow that of the others. The takeover time depends
	// on the fast ones; the slow ones only save reads.
	leaseReadFast = 250 * time.Millisecond
	leaseReadSlow = time.Second
	fastReaders   = 2
	// silentAfter is how long a peer must leave attempts over new connections
	// unanswered before a local succession treats it as paused (D2).
	silentAfter = 2 * LeaseTTL

	heartbeatEvery = 500 * time.Millisecond
	// heartbeatTimeout and heartbeatEvery add up to the 1.5 s in which a silent
	// connection must be noticed (D8).
	heartbeatTimeout = time.Second
	suspectAfter     = 1500 * time.Millisecond
	remoteEvery      = time.Second
	// goneRefusals refused new connections in a row mean that a process is dead.
	goneRefusals = 3
	probeGap     = 50 * time.Millisecond

	configPollEvery = time.Second
	// configBootWait is how long a starting daemon collects versions from peers while
	// the table does not answer (D3).
	configBootWait = 3 * time.Second
	// configPushWait bounds the push to peers that precedes a version coming into force.
	configPushWait = 300 * time.Millisecond
	storeTimeout   = 2 * time.Second

	usageEvery = time.Second
	// usageRefresh repeats an unchanged report before it expires at its receiver (3 s).
	usageRefresh = 1500 * time.Millisecond
	// remoteIdle is the time between heartbeats to another data centre while evidence
	// from the table is not older than farEvidenceFresh.
	remoteIdle       = 2500 * time.Millisecond
	farEvidenceFresh = 2500 * time.Millisecond
	allotmentEvery   = 2 * time.Second
	// allotCheckGap bounds how often waiting requests look for more of a limit,
	// allotRetry is the mean wait after a failed attempt for one team.
	allotCheckGap = 5 * time.Millisecond
	allotRetry    = 200 * time.Millisecond
	// holdFor covers several repetitions of an ask.
	holdFor = time.Second
	// returnAfter is how long a coordinator observes a team before it returns anything.
	returnAfter = 30 * time.Second
	// followerChecks times followerGap bound the wait for followers before a gift.
	followerChecks = 100
	followerGap    = 5 * time.Millisecond
	// checkEvery is the resolution of checks that have no timer of their own.
	checkEvery = 100 * time.Millisecond
	// minionPollGap is the time between two polls of one minion with jobs in doubt, and
	// minionPollIdle that of one with outstanding permits only, whose release may be lost.
	minionPollGap     = 200 * time.Millisecond
	minionPollIdle    = 10 * time.Second
	minionPollTimeout = time.Second
	minionPolls       = 16
	// waiterGrace is how long a waiting request survives the loss of its connection.
	waiterGrace = 2 * time.Second

	// retryGap is the mean wait before a call to the coordinator is repeated.
	retryGap = 40 * time.Millisecond
	// retryGapMax bounds the load of many waiting requests on entry VMs that are not the
	// coordinator; a change of coordinator ends the wait early.
	retryGapMax = 320 * time.Millisecond
	// acquireGrace lets the coordinator's own answer at the deadline arrive first.
	acquireGrace   = 250 * time.Millisecond
	releaseWorkers = 16
	// releaseFor bounds the retries of one release; after it the minion's status decides.
	releaseFor = 30 * time.Second
)
