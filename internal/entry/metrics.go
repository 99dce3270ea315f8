package entry

import "expvar"

// counters is the expvar map "entry": jobs by how they were handed in ("accepted",
// "accepted_before", "may_be_stored", "store_away"), answers about states by source
// ("state_coordinator", "state_store"), cancels likewise, and "leases_taken".
var counters = expvar.NewMap("entry")
