// Package upstream sends requests to minions over HTTP. It checks that answers are
// whole, keeps the number of connections to each minion bounded, and classifies
// errors by whether the job may have run. It takes no retry decisions.
package upstream
