package control

import "time"

const (
	// LeaseTTL is how long a lease, a confirmation or a message of the coordinator is valid
	// (docs/design.md, D2). Together with the margin, a read interval, a check interval and
	// a registration it stays below the 2.2 s within which urgent work must start.
	LeaseTTL = 1300 * time.Millisecond
	// leaseExpiryMargin is added to the TTL before another entry VM takes an unchanged
	// lease. It covers the drift between two monotonic clocks over the TTL.
	leaseExpiryMargin = 100 * time.Millisecond
	// minRegisterWait is the minimum time for which a takeover waits for a member that has
	// not sent a message within the TTL, so that an idle connection is not taken for a dead
	// one.
	minRegisterWait = 100 * time.Millisecond
	// leaseRetryDelay is the mean delay after a write of the lease row that had no effect.
	leaseRetryDelay    = 250 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	// leaseCallTimeout leaves time to read the row back within the TTL.
	leaseCallTimeout = 800 * time.Millisecond
	// leaseReadIntervalFast is the poll interval of the fastLeaseReaders entry VMs that
	// would take over first, leaseReadIntervalSlow that of the others. The takeover time
	// depends only on the fast ones; the slow interval saves reads.
	leaseReadIntervalFast = 250 * time.Millisecond
	leaseReadIntervalSlow = time.Second
	fastLeaseReaders      = 2
	// silentAfter is how long a peer must leave messages over new connections unanswered
	// before a local succession treats it as paused (docs/design.md, D2).
	silentAfter = 2 * LeaseTTL

	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout and heartbeatInterval add up to the 1.5 s within which a silent
	// connection must be detected (docs/design.md, D8).
	heartbeatTimeout        = time.Second
	suspectAfter            = 1500 * time.Millisecond
	remoteHeartbeatInterval = time.Second
	// refusalsUntilGone is the number of consecutive refused connections after which a
	// process counts as dead.
	refusalsUntilGone = 3
	probeDelay        = 50 * time.Millisecond

	configPollInterval = time.Second
	// configStartupWait is how long a starting daemon collects configuration versions from
	// peers while the table does not answer (docs/design.md, D3).
	configStartupWait = 3 * time.Second
	// configPushWait bounds the time for which a version is pushed to peers before it is
	// put in force here.
	configPushWait = 300 * time.Millisecond
	storeTimeout   = 2 * time.Second

	usageInterval = time.Second
	// usageRefreshInterval is the time after which an unchanged report is repeated; it
	// expires at its receiver after 3 s.
	usageRefreshInterval = 1500 * time.Millisecond
	// remoteHeartbeatIdle is the time between heartbeats to a remote data centre while the
	// evidence from the table is not older than tableEvidenceFresh.
	remoteHeartbeatIdle   = 2500 * time.Millisecond
	tableEvidenceFresh    = 2500 * time.Millisecond
	allotmentReadInterval = 2 * time.Second
	// allotmentCheckInterval is the minimum time between two checks whether teams need a
	// larger allotment. allotmentRetryDelay is the mean delay after a failed attempt to get
	// one, per team.
	allotmentCheckInterval = 5 * time.Millisecond
	allotmentRetryDelay    = 200 * time.Millisecond
	// holdBackTime is how long capacity is reserved for a data centre that asked for it;
	// it covers several repetitions of the request.
	holdBackTime = time.Second
	// returnObservationTime is how long a new coordinator observes the demand before it
	// returns unused allotments.
	returnObservationTime = 30 * time.Second
	// maxFollowerChecks times followerCheckDelay bounds the wait until the followers know
	// of a transfer, before it is written.
	maxFollowerChecks  = 100
	followerCheckDelay = 5 * time.Millisecond
	// checkInterval is the interval of the checks that have no timer of their own.
	checkInterval = 100 * time.Millisecond
	// minionPollInterval is the time between two polls of a minion with jobs whose state
	// is not known. minionPollIdleInterval applies to a minion that only has outstanding
	// permits; a poll finds those whose release was lost.
	minionPollInterval     = 200 * time.Millisecond
	minionPollIdleInterval = 10 * time.Second
	minionPollTimeout      = time.Second
	maxMinionPolls         = 16
	// waiterGrace is how long a waiting request survives the loss of its connection.
	waiterGrace = 2 * time.Second

	// retryDelay is the mean delay before a call to the coordinator is repeated.
	retryDelay = 40 * time.Millisecond
	// maxRetryDelay bounds the load that many waiting requests cause on entry VMs that are
	// not the coordinator. A change of coordinator ends the delay early.
	maxRetryDelay = 320 * time.Millisecond
	// acquireTimeoutMargin is added to a request's deadline, so that the coordinator's
	// answer at the deadline still arrives.
	acquireTimeoutMargin = 250 * time.Millisecond
	releaseWorkers       = 16
	// releaseTimeout bounds the retries of one release. After that, the status polls of the
	// minion tell the coordinator that the attempt is over.
	releaseTimeout = 30 * time.Second
)
