package mesh

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is reported. The two clocks are read
// one after the other, and the process may be preempted in between.
const minSuspension = 100 * time.Millisecond

// suspensionDetector detects that the machine was suspended: the monotonic clock, on
// which all deadlines are based, does not advance during a suspension, and the boot
// clock does. The quota bounds hold without it: a node resumes with the tokens it
// held before, and those stay within the tolerance for a change of the collector.
type suspensionDetector struct {
	// offset is the boot clock minus the monotonic clock at the last reading.
	offset time.Duration
}

// newSuspensionDetector starts to detect suspensions from now on.
func newSuspensionDetector() (*suspensionDetector, error) {
	offset, err := bootOffset()
	return &suspensionDetector{offset: offset}, err
}

// sinceLast returns how long the machine was suspended since the last call, 0 if it
// was not.
func (s *suspensionDetector) sinceLast() (time.Duration, error) {
	offset, err := bootOffset()
	if err != nil {
		return 0, err
	}
	suspended := offset - s.offset
	s.offset = offset
	if suspended < minSuspension {
		return 0, nil
	}
	return suspended, nil
}

func bootOffset() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, eris.Wrap(err, "read CLOCK_MONOTONIC")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, eris.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
