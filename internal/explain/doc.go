// Package explain tells the story of one job or request from the log lines of entry VMs.
package explain
