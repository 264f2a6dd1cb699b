package mesh

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// leastSuspension is the shortest time that is reported. The two clocks are read
// one after the other, with a turn of another process in between at times.
const leastSuspension = 100 * time.Millisecond

// suspension notices that the machine stood still: the steady clock, by which all
// deadlines count, leaves such times out, and the boot clock does not. The bounds
// hold without it: what a node kept is of before, and its tokens stay within what
// the tolerance has for a change of the collector.
type suspension struct {
	// ahead is by how much the boot clock was ahead of the steady one.
	ahead time.Duration
}

// newSuspension begins to watch now.
func newSuspension() (*suspension, error) {
	ahead, err := bootAhead()
	return &suspension{ahead: ahead}, err
}

// since returns for how long the machine stood still since the last call, 0 if it
// did not.
func (s *suspension) since() (time.Duration, error) {
	ahead, err := bootAhead()
	if err != nil {
		return 0, err
	}
	stood := ahead - s.ahead
	s.ahead = ahead
	if stood < leastSuspension {
		return 0, nil
	}
	return stood, nil
}

func bootAhead() (time.Duration, error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, eris.Wrap(err, "steady clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, eris.Wrap(err, "boot clock")
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
