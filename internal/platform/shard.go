package platform

import (
	"hash/fnv"
	"strings"
)

// JobTable has a row for each accepted job. It is the one table whose rows are spread over
// shards: every other row may be in a transaction with any other.
const JobTable = "job"

// JobShards is the number of shards of the job rows. The users' store executes the
// transactions of a shard one after another, 200 a second, or 4 to 5 a second while it is
// slower by a factor of 43; the large sites accept up to 200 jobs a second.
const JobShards = 32

// UnshardedRows is the shard of all rows that are not spread.
const UnshardedRows = -1

// Shard returns the shard of a row. A transaction holds rows of one shard. Rows of a job
// ("job/ID", "job/ID.cancel") are in the same.
func Shard(key string) int {
	table, rest, _ := strings.Cut(key, "/")
	if table != JobTable {
		return UnshardedRows
	}
	id, _, _ := strings.Cut(rest, ".")
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % JobShards)
}

// SameShard reports whether a transaction's rows are in one shard.
func (t Txn) SameShard() bool {
	shards := map[int]bool{}
	for _, c := range t.Conditions {
		shards[Shard(c.Key)] = true
	}
	for _, p := range t.Puts {
		shards[Shard(p.Key)] = true
	}
	return len(shards) <= 1
}
