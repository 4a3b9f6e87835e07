package limit

// minShareFraction is the fraction of an equal share that every entry keeps, so that
// the first requests of an organisation at an entry without recent demand are
// admitted.
const minShareFraction = 0.1

// MinPublishedDemand returns the demand, in requests per second, from which an entry
// publishes the demand of an organisation whose limit over all entries is perSecond
// requests per second. Demand below the result is at most half of what the entry
// admits without publishing.
func MinPublishedDemand(perSecond float64, entries int) float64 {
	const maxFloor = 1.0 // requests per second; higher demand is published whatever the limit
	return min(maxFloor, minShareFraction*perSecond/float64(2*max(entries, 1)))
}

// EntryShare returns this entry's share of a limit, from 0 to 1. The limit is
// divided among the entries in proportion to the demand that they publish. own is
// the demand of this entry and total the demand of all live entries including this
// one, both in requests per second; entries is the number of live entries. Every entry
// has a minimum share, which is deducted from the divided part, so that the shares of
// all entries never add up to more than 1.
func EntryShare(own, total float64, entries int) float64 {
	if entries <= 1 {
		return 1
	}
	equal := 1 / float64(entries)
	if total <= 0 {
		return equal
	}
	return minShareFraction*equal + (1-minShareFraction)*own/total
}
