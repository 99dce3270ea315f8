package ingress

import "expvar"

// counters is the expvar map "ingress". By listener: connections closed for a bound
// ("closed_connections", "closed_memory") or a shutdown ("closed_shutdown"), refused at their start
// ("connections_refused"), not accepted for lack of descriptors ("accept_failed"), closed because a body did not arrive ("closed_without_answer"),
// "body_timeouts", and requests without room for their body ("no_room"); and as gauges "open" and "held",
// the connections and the bytes of headers and bodies.
var counters = expvar.NewMap("ingress")

func count(listener, what string) { counters.Add(listener+"."+what, 1) }

// publish makes the gauges of a guard known.
func publish(listener string, g *Guard) {
	usage := func() (int, int64) {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.book.Usage()
	}
	counters.Set(listener+".open", expvar.Func(func() any { n, _ := usage(); return n }))
	counters.Set(listener+".held", expvar.Func(func() any { _, n := usage(); return n }))
}
