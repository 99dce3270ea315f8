// Package problem writes the errors of the HTTP APIs as problem documents (RFC 9457).
package problem
