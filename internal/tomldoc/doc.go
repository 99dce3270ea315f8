// Package tomldoc reads TOML files strictly and reports every fault with its file,
// line, field, the value found and what is expected. A caller reads each field that it
// knows; RejectUnknownFields reports the others. The package performs no I/O.
package tomldoc
