// Package caller is the callers' HTTP API. It reads requests within bounds, hands them
// to dispatch and turns results into answers and RFC 9457 problem documents. It takes
// no decisions about jobs.
package caller
