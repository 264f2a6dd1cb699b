package quota

import "time"

// lot is an interval of one minter's time at a rate, on the local clock. The
// true minting time of a point x of the interval lies in [x-slack, x]; slack is
// the uncertainty that transit adds.
type lot struct {
	rate     Rate
	from, to time.Duration
	slack    time.Duration
}

// usable returns the part of the lot that is minted by end and has not expired
// at start. If start is before end, it can be spent at some time between them;
// if start is after end, it can be spent at end and remains valid until start.
func (l lot) usable(start, end, lifetime time.Duration) (from, to time.Duration) {
	if l.slack >= lifetime {
		return 0, 0
	}
	return max(l.from, start-lifetime+l.slack), min(l.to, end)
}

// amount returns how much of the lot is usable from start to end.
func (l lot) amount(start, end, lifetime time.Duration) Amount {
	from, to := l.usable(start, end, lifetime)
	if from >= to {
		return 0
	}
	return l.rate.over(to - from)
}

// maxLots bounds the memory of a bucket. When a bucket is full, the lot that
// expires first is dropped for each new one.
const maxLots = 512

// bucket holds the lots of one workspace. All times are local.
type bucket struct{ lots []lot }

// add credits a lot. Where it overlaps a lot of the same slack, the two are
// merged into one at the sum of their rates, so that the oldest tokens of all
// minters are taken evenly.
func (b *bucket) add(l lot) {
	for i := 0; i < len(b.lots) && l.from < l.to && l.rate > 0; i++ {
		o := b.lots[i]
		if o.slack != l.slack || o.from >= l.to || l.from >= o.to {
			continue
		}
		start, end := max(o.from, l.from), min(o.to, l.to)
		b.lots[i] = lot{rate: o.rate + l.rate, from: start, to: end, slack: l.slack}
		b.append(lot{rate: o.rate, from: o.from, to: start, slack: o.slack})
		b.append(lot{rate: o.rate, from: end, to: o.to, slack: o.slack})
		b.add(lot{rate: l.rate, from: l.from, to: start, slack: l.slack})
		l.from = end
	}
	b.append(l)
}

// append credits a lot that overlaps no other lot of the same slack.
func (b *bucket) append(l lot) {
	if l.rate <= 0 || l.from >= l.to {
		return
	}
	if len(b.lots) >= maxLots {
		b.dropFirst()
	}
	b.lots = append(b.lots, l)
}

// drain empties the bucket and returns its lots.
func (b *bucket) drain() []lot {
	lots := b.lots
	b.lots = nil
	return lots
}

// dropFirst drops the lot that expires first.
func (b *bucket) dropFirst() {
	first := 0
	for i, l := range b.lots {
		if l.to-l.slack < b.lots[first].to-b.lots[first].slack {
			first = i
		}
	}
	last := len(b.lots) - 1
	b.lots[first] = b.lots[last]
	b.lots = b.lots[:last]
}

// expire drops the lots that have expired.
func (b *bucket) expire(now, lifetime time.Duration) {
	kept := b.lots[:0]
	for _, l := range b.lots {
		if l.from < l.to && l.to-l.slack+lifetime > now {
			kept = append(kept, l)
		}
	}
	b.lots = kept
}

// available returns how much of all lots is usable from start to end.
func (b *bucket) available(start, end, lifetime time.Duration) Amount {
	var sum Amount
	for _, l := range b.lots {
		sum += l.amount(start, end, lifetime)
	}
	return sum
}

// readyAt returns the earliest time from now to end, accurate to a microsecond,
// at which want can be spent and remains valid for margin longer. ok is false if there is
// none.
func (b *bucket) readyAt(now, end, margin, lifetime time.Duration, want Amount) (at time.Duration, ok bool) {
	if b.available(now+margin, now, lifetime) >= want {
		return now, true
	}
	if end, ok = b.readyBy(now, end, margin, lifetime, want); !ok {
		return end, false
	}
	low := now
	for end-low > time.Microsecond {
		mid := low + (end-low)/2
		if b.available(mid+margin, mid, lifetime) >= want {
			end = mid
		} else {
			low = mid
		}
	}
	return end, true
}

// readyBy returns a time by which want can be spent: end, or else the end of a
// lot, since tokens that can be spent then may have expired at end.
func (b *bucket) readyBy(now, end, margin, lifetime time.Duration, want Amount) (at time.Duration, ok bool) {
	if b.available(end+margin, end, lifetime) >= want {
		return end, true
	}
	at = end
	for _, l := range b.lots {
		if l.to > now && l.to < at && b.available(l.to+margin, l.to, lifetime) >= want {
			at, ok = l.to, true
		}
	}
	return at, ok
}

// takeTokens debits up to count portions of the size each. It takes a portion at
// the earliest time until end at which the whole portion can be spent and remains
// valid for margin longer. It appends the lots to out and returns the number of
// portions.
func (b *bucket) takeTokens(now, end, margin, lifetime time.Duration, count int64, each Amount, out []lot) ([]lot, int64) {
	if all := Amount(count) * each; b.available(now+margin, now, lifetime) >= all {
		return b.take(now+margin, now, lifetime, all, out), count
	}
	for taken := int64(0); taken < count; taken++ {
		at, ok := b.readyAt(now, end, margin, lifetime, each)
		if !ok {
			return out, taken
		}
		out = b.take(at+margin, at, lifetime, each, out)
		now = at
	}
	return out, count
}

// oldest returns the index of the lot whose usable part expires first, or -1 if
// no lot is usable.
func (b *bucket) oldest(start, end, lifetime time.Duration) int {
	best := -1
	for i, l := range b.lots {
		if l.amount(start, end, lifetime) == 0 {
			continue
		}
		if best < 0 || l.from-l.slack < b.lots[best].from-b.lots[best].slack {
			best = i
		}
	}
	return best
}

// takeSteps is the number of steps into which take divides the lifetime of a
// token: it takes at most one step of a lot before it looks for the oldest lot
// again, so that lots of different slack are taken in turn.
const takeSteps = 64

// spend debits one token if one can be spent now, and reports whether it did.
func (b *bucket) spend(now, lifetime time.Duration) bool {
	if b.available(now, now, lifetime) < Token {
		return false
	}
	b.take(now, now, lifetime, Token, nil)
	b.expire(now, lifetime)
	return true
}

// take debits up to want of what is usable from start to end, the oldest first,
// and appends the lots to out unless out is nil. The amount taken may exceed want
// by less than one nanosecond of minting.
func (b *bucket) take(start, end, lifetime time.Duration, want Amount, out []lot) []lot {
	for want > 0 {
		i := b.oldest(start, end, lifetime)
		if i < 0 {
			break
		}
		l := &b.lots[i]
		from, to := l.usable(start, end, lifetime)
		until := min(to, from+l.rate.timeFor(want), from+lifetime/takeSteps+1)
		want -= l.rate.over(until - from)
		if out != nil {
			out = extend(out, lot{rate: l.rate, from: from, to: until, slack: l.slack})
		}
		l.from = until
	}
	return out
}

// extend appends a lot, or extends the lot that it adjoins.
func extend(lots []lot, l lot) []lot {
	for i := range lots {
		if o := &lots[i]; o.to == l.from && o.rate == l.rate && o.slack == l.slack {
			o.to = l.to
			return lots
		}
	}
	return append(lots, l)
}
