// Package platform is a stand-in of the platform for tests: a transactional table,
// an object store and a lagging list of VMs behind one http.Handler, with rate limits
// and faults that are set over admin endpoints. The protocol is in
// boragepulley/internal/platform (wire.go).
package platform
