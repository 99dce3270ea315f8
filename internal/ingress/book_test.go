package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const kib = 1 << 10

func open(t *testing.T, b *Book, now time.Duration) ID {
	id, victim, ok := b.Open(now)
	require.True(t, ok)
	require.Nil(t, victim)
	return id
}

// Guards against limits that clients within the bounds of the specification reach: a few hundred
// requests in a burst with bodies of up to 10 KB, or one body of the largest size with as many steps as
// a job can have.
func TestLimitsOfTheUsersMachines(t *testing.T) {
	for _, x := range []struct {
		memoryMB    float64
		maxFDs      int
		connections int
	}{
		{160, 4100, 1024}, {184, 4100, 1177}, {284, 4100, 1435}, {536, 8192, 2867}, {96, 600, 210},
	} {
		l := Derive(x.memoryMB, x.maxFDs)
		require.Equal(t, x.connections, l.Connections, "%v MB", x.memoryMB)
		if x.maxFDs >= 4100 {
			require.Greater(t, l.Bytes, int64(1000*12*kib))
			require.Greater(t, l.ProcessingBytes, int64(20000*512+3*256*kib+1<<20))
		}
		require.Less(t, float64(l.Bytes+l.ProcessingBytes)+float64(l.Connections*connectionBytes), 0.4*x.memoryMB*(1<<20))
	}
	own := Derive(0, 0)
	require.GreaterOrEqual(t, own.Connections, 89, "a process without settings has bounds too")
	require.GreaterOrEqual(t, own.Bytes, int64(2<<20))
}

// Guards against a client that is closed for a bound although others have stalled or hold more.
func TestStalledClientsAreClosedFirst(t *testing.T) {
	b := NewBook(Limits{Connections: 3, Bytes: 100 * kib})
	old, idle, busy := open(t, b, 0), open(t, b, 0), open(t, b, 0)
	_, ok := b.Hold(busy, 60*kib, 0)
	require.True(t, ok)
	b.Sent(old, 100*time.Millisecond)
	b.Sent(idle, 200*time.Millisecond)
	b.Sent(busy, 1900*time.Millisecond)
	id, victim, ok := b.Open(2 * time.Second)
	require.True(t, ok)
	require.Equal(t, &Victim{ID: old, Reason: ReasonConnections, Idle: 1900 * time.Millisecond}, victim)
	require.Equal(t, 3, must(b.Usage()))
	// Nobody who holds memory has stalled: the one that holds most for longest is closed.
	victims, ok := b.Hold(id, 30*kib, 2*time.Second)
	require.True(t, ok)
	require.Empty(t, victims)
	victims, ok = b.Hold(id, 30*kib, 2100*time.Millisecond)
	require.False(t, ok, "the evicted one's memory is still in use")
	require.Equal(t, []Victim{{ID: busy, Reason: ReasonMemory, Idle: 200 * time.Millisecond, Age: 2100 * time.Millisecond, Held: 60 * kib}}, victims)
	b.Close(busy)
	victims, ok = b.Hold(id, 30*kib, 2100*time.Millisecond)
	require.True(t, ok)
	require.Empty(t, victims)
}

func must(n int, _ int64) int { return n }

// Guards against a request that has arrived completely, and may be stored already, being cut off for
// others, and against a new one that takes memory which is not there.
func TestRequestsBeingServedAreNotClosed(t *testing.T) {
	b := NewBook(Limits{Connections: 2, Bytes: 100 * kib})
	a, c := open(t, b, 0), open(t, b, 0)
	for _, id := range []ID{a, c} {
		_, ok := b.Hold(id, 50*kib, 0)
		require.True(t, ok)
		require.True(t, b.Serve(id))
	}
	_, _, ok := b.Open(time.Minute)
	require.False(t, ok)
	require.Empty(t, b.Stalled(time.Minute))
	b.End(a, time.Minute)
	id, victim, ok := b.Open(time.Minute)
	require.True(t, ok, "between requests it can be closed")
	require.Equal(t, a, victim.ID)
	require.False(t, b.Serve(a), "an evicted one is not served")
	_, ok = b.Hold(id, 60*kib, time.Minute)
	require.False(t, ok)
	_, ok = b.Hold(id, 50*kib, time.Minute)
	require.True(t, ok)
}

// Guards against a shutdown that waits for clients that never finish, or cuts off one that is sending.
func TestOnlyStalledClientsAreClosedAtShutdown(t *testing.T) {
	b := NewBook(Limits{Connections: 9, Bytes: kib})
	stalled, sending := open(t, b, 0), open(t, b, 0)
	b.Sent(sending, 900*time.Millisecond)
	require.Empty(t, b.Stalled(900*time.Millisecond))
	got := b.Stalled(time.Second)
	require.Len(t, got, 1)
	require.Equal(t, stalled, got[0].ID)
	require.Equal(t, ReasonShutdown, got[0].Reason)
	require.Empty(t, b.Stalled(time.Second), "each is closed once")
}

// Guards against a member that is closed in the middle of a large message, because another one sends, and
// against small messages that wait for the largest one.
func TestMembersThatSendAreNotClosedForMemory(t *testing.T) {
	l := DerivePeers(96, 8, 24<<20)
	b := NewBook(l)
	large, other := open(t, b, 0), open(t, b, 0)
	_, ok := b.Hold(large, 24<<20, 0)
	require.True(t, ok)
	_, ok = b.Hold(other, smallMessages, 0)
	require.True(t, ok, "beside the largest message")
	b.Sent(large, 500*time.Millisecond)
	b.Sent(other, 1400*time.Millisecond)
	victims, ok := b.Hold(other, 64*kib, 1400*time.Millisecond)
	require.False(t, ok)
	require.Empty(t, victims, "it is sending")
	victims, ok = b.Hold(other, 64*kib, 1500*time.Millisecond)
	require.False(t, ok, "the evicted one's memory is still in use")
	require.Len(t, victims, 1, "it has stalled")
	require.Equal(t, large, victims[0].ID)
	b.Close(large)
	_, ok = b.Hold(other, 64*kib, 1500*time.Millisecond)
	require.True(t, ok)
}

// Guards against a client in the middle of a request that is closed for a new connection although others
// are between requests, and of these against any but the one idle for longest.
func TestIdleConnectionsMakeRoomFirst(t *testing.T) {
	b := NewBook(Limits{Connections: 3, Bytes: 100 * kib})
	sending, used, idle := open(t, b, 0), open(t, b, 0), open(t, b, 0)
	_, ok := b.Hold(sending, 60*kib, 0)
	require.True(t, ok)
	b.Sent(idle, 10*time.Millisecond)
	b.Sent(used, 20*time.Millisecond)
	b.Sent(sending, 30*time.Millisecond)
	for _, want := range []ID{idle, used} {
		id, victim, ok := b.Open(500 * time.Millisecond)
		require.True(t, ok)
		require.Equal(t, want, victim.ID)
		require.True(t, b.Serve(id))
	}
	_, victim, ok := b.Open(500 * time.Millisecond)
	require.True(t, ok)
	require.Equal(t, sending, victim.ID)
}

// Guards against an account that drifts from what is held, exceeds a bound, or never has room again.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Connections: rapid.IntRange(1, 5).Draw(t, "connections"), Bytes: 100}
		b, now := NewBook(l), time.Duration(0)
		held, evicted := map[ID]int64{}, map[ID]bool{}
		evict := func(vs ...Victim) {
			for _, v := range vs {
				if evicted[v.ID] {
					t.Fatalf("%d is closed twice", v.ID)
				}
				if v.Held != held[v.ID] {
					t.Fatalf("%d holds %d, said to be %d", v.ID, held[v.ID], v.Held)
				}
				evicted[v.ID] = true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			id := ID(rapid.IntRange(1, 8).Draw(t, "id"))
			_, known := held[id]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if id, victim, ok := b.Open(now); ok {
					held[id] = 0
					if victim != nil {
						evict(*victim)
					}
				}
			case 1:
				n := int64(rapid.IntRange(0, 120).Draw(t, "bytes"))
				victims, ok := b.Hold(id, n, now)
				evict(victims...)
				if ok {
					held[id] += n
				}
			case 2:
				b.Release(id, 7)
				if known {
					held[id] = max(0, held[id]-7)
				}
			case 3:
				if b.Serve(id) != (known && !evicted[id]) {
					t.Fatalf("serving %d", id)
				}
			case 4:
				b.End(id, now)
				if known {
					held[id] = 0
				}
			case 5:
				b.Close(id)
				delete(held, id)
			case 6:
				evict(b.Stalled(now)...)
			}
			sum, live := int64(0), 0
			for id, n := range held {
				sum += n
				if !evicted[id] {
					live++
				}
			}
			if n, bytes := b.Usage(); n != live || bytes != sum || n > l.Connections || bytes > l.Bytes {
				t.Fatalf("%d connections of %d, %d bytes of %d", n, live, bytes, sum)
			}
		}
		for id := range held {
			b.Close(id)
		}
		if n, bytes := b.Usage(); n != 0 || bytes != 0 || b.leaving != 0 {
			t.Fatalf("%d connections, %d bytes, %d leaving at the end", n, bytes, b.leaving)
		}
	})
}
