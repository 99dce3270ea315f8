// Package operator is the operators' HTTP API and its client: check, plan and apply sets
// of files, and read the status, the jobs and the report. It depends on small interfaces
// that the control, account and dispatch parts implement.
package operator
