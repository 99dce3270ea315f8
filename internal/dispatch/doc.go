// Package dispatch is the life of one request on the traffic side: authentication,
// de-duplication, claim, permit, dispatch, retries, answer and account.
package dispatch
