// Package contract holds the typed messages that the daemons exchange and the
// outcomes and errors that callers see.
//
// Every message is encoded as JSON with snake_case names. Instants are in the
// receiver's clock: a sender translates them with the offset it measured at the
// hello (see Hello), so that no two processes need to share a clock.
package contract
