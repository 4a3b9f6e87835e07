// Package stops tests planned stops of entryd and targetd as processes on loopback addresses, under requests that run
// and requests that come during the stop. The package has tests only.
package stops
