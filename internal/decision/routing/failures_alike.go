package routing

const (
	failuresAlikeShare    = 0.08 // of attempts, that half of the listed nodes fail
	failuresAlikeEndShare = failuresAlikeShare / 2
)

// detectFailuresAlike decides whether attempts fail at all nodes alike. Then the fault lies between this broker and the nodes, what
// shares a connection is lost together, and each call gets a connection of its own.
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
