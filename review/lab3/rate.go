//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// rate: what a proxy with a bandwidth of 10 Mbit/s carries. It is not a case.
func init() {
	cases["rate"] = func(s *site, _ bool) {
		to := serveOn(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 5_000_000)) }))
		for range 3 {
			p := newProxy(to)
			p.down = &bandwidth{rate: 10e6 / 8}
			began := time.Now()
			r, err := http.Get("http://" + p.addr)
			if err != nil {
				panic(err)
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				panic(err)
			}
			r.Body.Close()
			s.note("%d bytes in %v", n, time.Since(began))
			fmt.Printf("%.2f Mbit/s\n", float64(n)*8/1e6/time.Since(began).Seconds())
		}
	}
}
