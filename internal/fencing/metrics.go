package fencing

import "expvar"

// counters is the expvar map "orders": held_back counts the orders that were not sent because the
// lease had ended, cut_short the calls that were ended together with the lease.
var counters = expvar.NewMap("orders")
