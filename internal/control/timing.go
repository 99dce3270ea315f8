package control

import "time"

const (
	// LeaseTTL is how long a lease, a confirmation or a message of the coordinator holds
	// (D2). With the margin, a read interval, a check interval and a registration it stays
	// below the 2.2 s in which urgent work must start.
	LeaseTTL = 1300 * time.Millisecond
	// leaseExpiryMargin is added to the TTL before another entry VM takes an unchanged lease:
	// it covers the difference between two monotonic clocks over the TTL.
	leaseExpiryMargin = 100 * time.Millisecond
	// minRegisterWait is the least time that a takeover gives to a member that was not heard
	// within the TTL, so that a merely idle connection does not count as a dead one.
	minRegisterWait = 100 * time.Millisecond
	// leaseRetryDelay is the mean wait after a write of the lease row that had no effect.
	leaseRetryDelay    = 250 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	// leaseCallTimeout leaves time for a read-back within the TTL.
	leaseCallTimeout = 800 * time.Millisecond
	// leaseReadIntervalFast is the poll interval of the entry VMs that would take over first
	// (fastLeaseReaders of them), leaseReadIntervalSlow that of the others. The takeover time depends
	// on the fast ones; the slow ones only save reads.
	leaseReadIntervalFast = 250 * time.Millisecond
	leaseReadIntervalSlow = time.Second
	fastLeaseReaders      = 2
	// silentAfter is how long a peer must leave attempts over new connections
	// unanswered before a local succession treats it as paused (D2).
	silentAfter = 2 * LeaseTTL

	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout and heartbeatInterval add up to the 1.5 s in which a silent
	// connection must be noticed (D8).
	heartbeatTimeout        = time.Second
	suspectAfter            = 1500 * time.Millisecond
	remoteHeartbeatInterval = time.Second
	// refusalsUntilGone refused new connections in a row mean that a process is dead.
	refusalsUntilGone = 3
	probeDelay        = 50 * time.Millisecond

	configPollInterval = time.Second
	// configStartupWait is how long a starting daemon collects versions from peers while
	// the table does not answer (D3).
	configStartupWait = 3 * time.Second
	// configPushWait bounds the push to peers that precedes a version coming into force.
	configPushWait = 300 * time.Millisecond
	storeTimeout   = 2 * time.Second

	usageInterval = time.Second
	// usageRefreshInterval repeats an unchanged report before it expires at its receiver (3 s).
	usageRefreshInterval = 1500 * time.Millisecond
	// remoteHeartbeatIdle is the time between heartbeats to another data centre while evidence
	// from the table is not older than tableEvidenceFresh.
	remoteHeartbeatIdle   = 2500 * time.Millisecond
	tableEvidenceFresh    = 2500 * time.Millisecond
	allotmentReadInterval = 2 * time.Second
	// allotmentCheckInterval bounds how often waiting requests look for more of a limit,
	// allotmentRetryDelay is the mean wait after a failed attempt for one team.
	allotmentCheckInterval = 5 * time.Millisecond
	allotmentRetryDelay    = 200 * time.Millisecond
	// holdBackTime covers several repetitions of an ask.
	holdBackTime = time.Second
	// returnObservationTime is how long a coordinator observes a team before it returns anything.
	returnObservationTime = 30 * time.Second
	// maxFollowerChecks times followerCheckDelay bound the wait for followers before a gift.
	maxFollowerChecks  = 100
	followerCheckDelay = 5 * time.Millisecond
	// checkInterval is the resolution of checks that have no timer of their own.
	checkInterval = 100 * time.Millisecond
	// minionPollInterval is the time between two polls of one minion with jobs in doubt, and
	// minionPollIdleInterval that of one with outstanding permits only, whose release may be lost.
	minionPollInterval     = 200 * time.Millisecond
	minionPollIdleInterval = 10 * time.Second
	minionPollTimeout      = time.Second
	maxMinionPolls         = 16
	// waiterGrace is how long a waiting request survives the loss of its connection.
	waiterGrace = 2 * time.Second

	// retryDelay is the mean wait before a call to the coordinator is repeated.
	retryDelay = 40 * time.Millisecond
	// maxRetryDelay bounds the load of many waiting requests on entry VMs that are not the
	// coordinator; a change of coordinator ends the wait early.
	maxRetryDelay = 320 * time.Millisecond
	// acquireTimeoutMargin lets the coordinator's own answer at the deadline arrive first.
	acquireTimeoutMargin = 250 * time.Millisecond
	releaseWorkers       = 16
	// releaseTimeout bounds the retries of one release; after it the minion's status decides.
	releaseTimeout = 30 * time.Second
)
