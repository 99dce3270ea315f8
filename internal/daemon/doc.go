// Package daemon puts the parts of boragepulleyd together: it connects control,
// dispatch, account and the listeners, and runs the graceful shutdown. It takes no
// decisions of its own.
package daemon
