package entry

import "expvar"

// counters is the expvar map "entry": submitted jobs by outcome ("accepted", "accepted_before",
// "may_be_stored", "store_away"), state queries by source ("state_coordinator", "state_store",
// "state_in_doubt" if the coordinator's knowledge may be outdated and the store does not answer),
// cancellations by the place that took them ("cancel_coordinator", "cancel_store"),
// "leases_taken", "readiness_changes", direct reads of the store for the coordinator
// ("store_probes"), and the gauges "evacuated_dcs" and "ready" (1 while connections are asked for).
var counters = expvar.NewMap("entry")
