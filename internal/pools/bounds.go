package pools

import (
	"cmp"
	"slices"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// LocalPools returns the pools with the data centre's part of their bounds, in the order of
// the configuration. The distance of the bounds from the number of home VMs is split in
// proportion to the home VMs of each data centre. The parts of all data centres together
// then never exceed the bounds, without communication between them.
func LocalPools(s *config.Site, dc model.DataCentre) []Pool {
	home := make(map[model.Pool]map[model.DataCentre]int)
	for _, v := range s.VMs {
		if home[v.Pool] == nil {
			home[v.Pool] = make(map[model.DataCentre]int)
		}
		home[v.Pool][v.DC]++
	}
	out := make([]Pool, 0, len(s.Pools))
	for _, p := range s.Pools {
		n, all := home[p.Name][dc], 0
		for _, k := range home[p.Name] {
			all += k
		}
		out = append(out, Pool{Name: p.Name, Service: p.Service, Spare: p.Spare, Home: n,
			Min: n - apportion(all-p.Min, home[p.Name], dc), Max: n + apportion(p.Max-all, home[p.Name], dc)})
	}
	return out
}

// apportion returns the data centre's part of n by the largest remainder method. Ties go to the
// first name.
func apportion(n int, by map[model.DataCentre]int, dc model.DataCentre) int {
	all := 0
	for _, k := range by {
		all += k
	}
	if all == 0 || n <= 0 {
		return 0
	}
	type quota struct {
		dc               model.DataCentre
		whole, remainder int
	}
	left := n
	qs := make([]quota, 0, len(by))
	for d, k := range by {
		q := quota{d, n * k / all, n * k % all}
		left -= q.whole
		qs = append(qs, q)
	}
	slices.SortFunc(qs, func(a, b quota) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.dc, b.dc))
	})
	for i, q := range qs {
		if q.dc == dc {
			if i < left {
				return q.whole + 1
			}
			return q.whole
		}
	}
	return 0
}
