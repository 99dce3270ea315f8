// Package caller implements the HTTP API for callers. It reads requests subject to limits
// on time and size, passes them to package dispatch and converts results to HTTP responses
// and RFC 9457 problem documents. It makes no decisions about jobs.
package caller
