package desk

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse is a desk file that grew to three thousand desks.
func BenchmarkParse(b *testing.B) {
	var many strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&many, `,{"name":"extra-%d","pool":"p","kinds":[{"name":"k","expiry":"8s","queue":4}]}`, i)
	}
	text := []byte(strings.TrimSuffix(sound, "]}") + many.String() + "]}")
	for b.Loop() {
		if _, faults := Parse(text); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
