// Package sites generates the files of a site of any size, for tests and experiments.
// The keys have fixed secrets that are derived from their ids; they protect nothing.
package sites
