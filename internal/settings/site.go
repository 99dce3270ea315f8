package settings

import (
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/tomldoc"
)

// Site holds the settings of an entry VM on a platform where one entry VM at a time
// coordinates the whole site.
type Site struct {
	Name model.EntryVM
	DC   model.DataCentre
	// CallerListen, ReadyListen, PeerListen and MetricsListen are "IP:port".
	CallerListen, ReadyListen, PeerListen, MetricsListen string
	// PeerAddr is the "IP:port" at which other entry VMs reach PeerListen.
	PeerAddr string
	LogLevel string
	// StoreURL is the base URL of the platform's store. MachinesAddr and AdviceAddr are the
	// "IP:port" of its machine service and advice service; AdviceAddr may be empty.
	StoreURL, MachinesAddr, AdviceAddr string
	// StoreWrites and StoreReads limit the store requests of all entry VMs together, per second.
	StoreWrites, StoreReads float64
	// StoreRowBytes is the largest value of a row that the store takes, in bytes.
	StoreRowBytes int
	// Cores is the processor time that this entry VM may use, in cores.
	Cores float64
	// MemoryMB is the memory that this entry VM may use, in MB; 0 means no limit.
	MemoryMB float64
	// MaxFDs is how many descriptors this process may have open; 0 means the process's own limit.
	MaxFDs int
	// LinkMbps is the bandwidth of this entry VM's link, in Mbit/s.
	LinkMbps float64
	// TerminationGrace is the time between SIGTERM and the platform's SIGKILL.
	TerminationGrace time.Duration
	// MaxMinionLease is the longest lease that a minion grants its runs (setting max_hold).
	MaxMinionLease time.Duration
	// MachineOrderGap is the minimum time between the machine orders of two successive
	// coordinators (setting duty_gap).
	MachineOrderGap time.Duration
	// Retention is how long the state of a job can be queried after its end.
	Retention time.Duration
}

// LoadSite reads and checks the settings file at path. Errors: the file cannot be read,
// or tomldoc.Faults with all faults of the file.
func LoadSite(path string) (*Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSite(path, string(text))
}

// ParseSite reads and checks settings; name is the file name that faults show.
func ParseSite(name, text string) (*Site, error) {
	var faults tomldoc.Faults
	t := tomldoc.Parse(name, text, MaxFileBytes, &faults)
	if t == nil {
		return nil, faults.Err()
	}
	nonEmpty := tomldoc.StringRule{Required: true, OK: func(s string) bool { return s != "" }, Expected: "a name"}
	requiredDuration := func(field string) time.Duration {
		return t.Duration(field, tomldoc.DurationRule{Required: true, Min: time.Millisecond, Max: time.Hour})
	}
	s := &Site{
		Name:             model.EntryVM(t.String("name", nonEmpty)),
		DC:               model.DataCentre(t.String("data_centre", nonEmpty)),
		CallerListen:     t.String("caller_listen", addressRule),
		ReadyListen:      t.String("ready_listen", addressRule),
		PeerListen:       t.String("peer_listen", addressRule),
		MetricsListen:    t.String("metrics_listen", addressRule),
		LogLevel:         t.String("log_level", tomldoc.StringRule{Default: DefaultLogLevel, OK: knownLogLevel, Expected: "one of " + strings.Join(logLevels, ", ")}),
		StoreURL:         t.String("store_url", tomldoc.StringRule{Required: true, OK: validURL, Expected: `a base URL "http://host:port"`}),
		MachinesAddr:     t.String("machines_address", addressRule),
		AdviceAddr:       t.String("advice_address", tomldoc.StringRule{}),
		StoreWrites:      t.Float("store_writes_per_second", tomldoc.FloatRule{Default: DefaultSiteWrites, Min: 1, Max: 100000}),
		StoreReads:       t.Float("store_reads_per_second", tomldoc.FloatRule{Default: DefaultSiteReads, Min: 1, Max: 100000}),
		StoreRowBytes:    int(t.Int("store_row_bytes", tomldoc.IntRule{Default: jobs.DefaultRowBytes, Min: 4 << 10, Max: 1 << 20})),
		Cores:            t.Float("cores", tomldoc.FloatRule{Default: 1, Min: 0.01, Max: 1024}),
		MemoryMB:         t.Float("memory_mb", tomldoc.FloatRule{Default: 0, Min: 0, Max: 1e6}),
		MaxFDs:           int(t.Int("max_fds", tomldoc.IntRule{Default: 0, Min: 0, Max: maxFDs})),
		LinkMbps:         t.Float("link_mbps", tomldoc.FloatRule{Default: 1000, Min: 0.1, Max: 1e6}),
		TerminationGrace: requiredDuration("grace"),
		MaxMinionLease:   requiredDuration("max_hold"),
		MachineOrderGap:  requiredDuration("duty_gap"),
		Retention:        requiredDuration("retention"),
	}
	s.PeerAddr = t.String("peer_address", tomldoc.StringRule{Default: s.PeerListen, OK: config.ValidAddress, Expected: addressRule.Expected})
	checkResources(t, s.MemoryMB, s.MaxFDs)
	t.RejectUnknownFields()
	faults.Sort()
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
