// Package operator is the operators' HTTP API and its client: check, plan and apply sets
// of files, and read the status, the jobs and the report. The server depends on interfaces
// that the packages control, account and dispatch implement.
package operator
