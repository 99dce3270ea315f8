package sitefaults

// Regression is a run that once broke a rule.
type Regression struct {
	Seed     uint64
	Only     string
	Overload bool
	Cause    string
}

// Regressions are all runs of 25 s that ever broke a rule. Each cause has a Go test of its own.
var Regressions = []Regression{
	{Seed: 3005, Only: "single,series", Cause: "SIGTERM reached a process before it could handle a signal (TestTellsWhichSignalEndedAProcess)"},
	{Seed: 6001, Cause: "a coordinator that was paused beyond its lease answered from its memory (entry.TestStaleCoordinatorDoesNotAnswerFromItsMemory)"},
	{Seed: 6006, Overload: true, Cause: "a final state went back while its write had no answer (entry.TestStateDoesNotGoBackWhileItsWriteIsUnanswered)"},
	{Seed: 7006, Overload: true, Cause: "a successor forgot jobs that took long (coordinator.TestSuccessorKeepsAJobThatTookLong)"},
	{Seed: 7012, Overload: true, Cause: "as 7006"},
	{Seed: 9102, Only: "network,clocks,overlap", Cause: "a final state went back while its write had no answer and the store answered nobody (entry.TestStateDoesNotGoBackWhileTheStoreAnswersNobody)"},
	{Seed: 9104, Only: "network,clocks,overlap", Cause: "a hand-over took the whole grace while the store's answers were lost (daemon.TestHandOverWithoutTheStoreLeavesTimeForCallers)"},
}
