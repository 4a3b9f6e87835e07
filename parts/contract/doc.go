// Package contract defines the typed messages that the daemons exchange, and the
// outcomes and failures that callers see.
//
// Every message is encoded as JSON with snake_case names. The deadline of a Call is in
// the receiver's clock: the sender converts it by the clock offset that it measured
// when it opened the link, so that the clocks of processes need not be synchronised.
// It measures that offset from Hello.Clock, which is in the clock of the target that
// sends the Hello.
package contract
