package routing

const (
	failuresAlikeShare    = 0.08 // median failure share of the listed nodes from which attempts count as failing at all nodes alike
	failuresAlikeEndShare = failuresAlikeShare / 2
)

// detectFailuresAlike decides whether attempts fail at all nodes alike. If so, the fault lies between this broker and the nodes, and a
// broken connection would fail all calls that share it; therefore each call gets a connection of its own.
func (d *dispatcher) detectFailuresAlike() {
	share := d.router.failureShares.median()
	alike := share >= failuresAlikeShare || d.failuresAlike && share >= failuresAlikeEndShare
	if alike == d.failuresAlike {
		return
	}
	d.failuresAlike = alike
	if alike {
		d.router.log(logFailuresAlike, share)
	} else {
		d.router.log(logFailuresAlikeEnded, share)
	}
}
