// Package worker starts and controls tasks on the platform's workers over HTTP. Its
// errors say exactly whether a worker may have started a task.
package worker
