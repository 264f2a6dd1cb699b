package config

import (
	"strings"
	"testing"
)

// BenchmarkChange measures one change that is published as a whole value: the
// bytes of the value, the bytes of the lines that differ, which a delta would
// carry, and the time to validate the value and put it in force.
func BenchmarkChange(b *testing.B) {
	full := fleetSizes[len(fleetSizes)-1]
	one := full
	one.shards = 1
	whole := full.keys(0)
	lines := strings.SplitAfter(whole, "\n")
	withdrawn := strings.Join(append(lines[:3:3], lines[4:]...), "")
	leaving := strings.Replace(full.instances(0, 1), "\"}\n", "\", state: leaving}\n", 1)
	for _, change := range []struct{ name, value, before, after string }{
		{"instance-leaves", InstancesName("s0"), full.instances(0, 1), leaving},
		{"workspace-withdrawn-of-16-shards", KeysName(0), whole, withdrawn},
		{"workspace-withdrawn-of-1-shard", KeysName(0), one.keys(0), strings.Replace(one.keys(0), lines[3], "", 1)},
	} {
		b.Run(change.name, func(b *testing.B) {
			view := full.view(b)
			body := []byte(strings.Replace(change.after, "revision: 1\n", "revision: 2\n", 1))
			b.ReportAllocs()
			for b.Loop() {
				value, err := Parse(change.value, body, 2)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := view.With(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "full-B")
			b.ReportMetric(float64(differingBytes(change.before, change.after)), "changed-B")
		})
	}
}

// differingBytes returns the bytes of the lines that only one of the bodies
// contains.
func differingBytes(before, after string) int {
	seen := make(map[string]int)
	for _, line := range strings.SplitAfter(before, "\n") {
		seen[line]--
	}
	for _, line := range strings.SplitAfter(after, "\n") {
		seen[line]++
	}
	sum := 0
	for line, count := range seen {
		if count != 0 {
			sum += len(line)
		}
	}
	return sum
}
