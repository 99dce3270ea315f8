// Package config is the model of the files that operators apply: strict TOML
// parsing, checks across the whole set of files, the document that is stored, and
// the difference between two documents. It performs no I/O.
package config
