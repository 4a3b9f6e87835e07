package limit

// shareFloor is the least part of an equal share that an entry keeps, so that
// an organisation's first requests at a quiet entry pass.
const shareFloor = 0.1

// PublishFloor is the demand, in requests a second, from which an entry publishes
// an organisation with the limit. Below it the demand fits twice into what the
// entry gives out without publishing.
func PublishFloor(perSecond float64, entries int) float64 {
	const heavy = 1.0 // worth publishing whatever the limit is
	return min(heavy, shareFloor*perSecond/float64(2*max(entries, 1)))
}

// DividedShare divides a limit among the entries by the demand they publish.
// own is this entry's demand, total that of all live entries including it, and
// entries how many there are. What the floors of quiet entries take is taken
// off the rest, so that the shares of all entries never add up to more than 1.
func DividedShare(own, total float64, entries int) float64 {
	if entries <= 1 {
		return 1
	}
	equal := 1 / float64(entries)
	if total <= 0 {
		return equal
	}
	return shareFloor*equal + (1-shareFloor)*own/total
}
