// Package tomldoc reads TOML files strictly and reports every fault with its file,
// line, field, what was found and what is expected. A caller asks a table for each
// field it knows; fields that nobody asked for are faults. It performs no I/O.
package tomldoc
