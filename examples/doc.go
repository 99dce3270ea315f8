// Package examples holds the example files of both sites and the tests that check them.
package examples
