package account

import "boragepulley/internal/model"

// Recorder records facts for the report. It never blocks on the network.
type Recorder interface {
	// Record adds one fact about a job.
	Record(model.Record)
	// Event adds one fact about the fleet.
	Event(model.FleetEvent)
}
