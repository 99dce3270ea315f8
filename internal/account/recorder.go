package account

import "boragepulley/internal/model"

// Recorder records facts for the report. It never blocks on the network.
type Recorder interface {
	// Begin announces a fact whose time is taken after this call. The caller adds the fact, if
	// there is one, and then calls done. Until then the fact counts as missing, however long
	// the process is held up.
	Begin() (done func())
	// Record adds one fact about a job.
	Record(model.Record)
	// Event adds one fact about the fleet.
	Event(model.FleetEvent)
}
