// Package model holds the types that several packages share: identifiers, jobs,
// outcomes, reasons, permits, coordinator tokens and account records. It performs
// no I/O and depends on no other package of this module.
package model
