// Package worker starts and controls tasks on the platform's workers over HTTP. Its
// errors tell whether a worker may have started a task.
package worker
