package catalog

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	// MaxSlots is the largest number of requests that an instance may run concurrently.
	// Numbers beyond it come from broken entries: they don't fit into messages between
	// nodes, or into sums of slots.
	MaxSlots = 1 << 20
	// MaxBoot is the largest boot id that an instance may publish, the start of the year
	// 10000 in Unix milliseconds. After a larger one, all later starts would be older.
	MaxBoot = 253402300800000
	// maxIDBytes is the largest length of the id of an instance, the length of a key.
	maxIDBytes = 200
)

// ErrInvalidInstance is wrapped by the errors of Instance.Validate.
var ErrInvalidInstance = errors.New("entry names no usable instance")

// Validate returns an error if the entry of an instance is not usable as a whole. Any
// client of the store can write entries, so the list holds only those that pass, wherever
// they come from: the rest of the program relies on addresses that can be dialled, ids that
// can be sent in a header, and numbers within bounds.
func (i *Instance) Validate() error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalidInstance, fmt.Sprintf(format, args...))
	}
	if !isToken(string(i.ID)) {
		return invalid("id %q", i.ID)
	}
	if i.Service == "" || i.Zone == "" {
		return invalid("no service or no zone")
	}
	address, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return invalid("%v", err)
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return invalid("address %q can't be dialled", i.Address)
	}
	if i.Slots < 1 || i.Slots > MaxSlots {
		return invalid("%d slots, want 1 to %d", i.Slots, MaxSlots)
	}
	if i.Boot > MaxBoot {
		return invalid("boot id %d is beyond %d", i.Boot, int64(MaxBoot))
	}
	return nil
}

// isToken reports whether a text can be sent as a header value as it is.
func isToken(text string) bool {
	if text == "" || len(text) > maxIDBytes {
		return false
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
