// Package contract defines the typed messages that the daemons exchange, and the
// outcomes and failures that callers see.
//
// Every message is encoded as JSON with snake_case names. Times are in the
// receiver's clock: a sender converts them by the clock offset that it measured
// when it opened the link (see Hello), so that the clocks of processes need not be
// synchronised.
package contract
