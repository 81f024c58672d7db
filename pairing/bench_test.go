package pairing

import (
	"fmt"
	"testing"
	"time"

	"linedrum.example/linedrum/engine"
)

// BenchmarkNominate weighs the engines of one large pool for one prompt.
func BenchmarkNominate(b *testing.B) {
	for _, engines := range []int{90, 400} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var servers []Server
			for i := range engines {
				role := engine.Decode
				if i%5 < 2 {
					role = engine.Prefill
				}
				one := server(fmt.Sprintf("i-%08x", i*7919), fmt.Sprintf("zone-%d", i%4), role)
				one.Load.Slots = 64 * 91 // none is full
				servers = append(servers, one)
			}
			v := view()
			v.Self, v.Nodes, v.Told, v.Tokens, v.Aim = "10.0.0.1:7100", 91, true, 9000, 800*time.Millisecond
			v.Parts = []engine.Part{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3800}, {ID: "c", Tokens: 2700}}
			for b.Loop() {
				v.Nominate(servers)
			}
		})
	}
}
