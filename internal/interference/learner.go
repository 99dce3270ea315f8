package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxImages and maxPairs bound the memory. A set of maxImages images fits the 64 bits of a Table.
	maxImages = 64
	maxPairs  = 1024
	// maxMinions bounds the minions whose slowness is known.
	maxMinions = 1024

	// halfLife is the age at which a sample counts half.
	halfLife = 5 * time.Minute
	// minionHalfLife and siteHalfLife are the same for the slowness of a minion and of the site. A minion ends
	// about one run a second, so that its slowness is known within seconds.
	minionHalfLife = time.Minute
	siteHalfLife   = 10 * time.Second

	// minSamples is how many samples with and without the neighbour a pair needs to be trusted. A trusted
	// pair needs half as many: while it is kept apart, there are few new ones with the neighbour.
	minSamples = 8
	// A pair becomes trusted with an effect of minStretch that exceeds minCertainty standard errors, and is
	// trusted until one is below keepStretch or keepCertainty. The thresholds differ so that a pair near one
	// of them does not alternate.
	minStretch    = 1.15
	keepStretch   = 1.07
	minCertainty  = 4
	keepCertainty = 2

	// fewSamples raises the certainty demanded of few samples, because their deviation is not known well: by half
	// with 16 of them.
	fewSamples = 8
	// shrinkage is the weight of the assumption that a neighbour has no effect, in samples.
	shrinkage = 1
	// effectShrinkage is the same for the slowness of a minion and of the site.
	effectShrinkage = 1
	// minDeviation is the least standard deviation assumed of the logarithm of a value: durations are
	// known to a few percent only, because polls report the ends.
	minDeviation = 0.03
	// maxDeviation bounds how far a sample may lie from the expected value; a larger distance, as after a
	// fault, counts as this one. exp(1.1) is 3.
	maxDeviation = 1.1
	// recentGroups is the number of groups of an image that are told apart. With 50 jobs a second of six images
	// and runs of 2 s, the tasks of about 16 jobs of an image end at the same time.
	recentGroups = 32
	// evaluateEvery is after how many samples of an image its pairs are evaluated. It bounds the cost:
	// an evaluation takes the third power of the number of neighbours.
	evaluateEvery = 4
)

// Learner estimates for each pair of images how much the neighbour slows the subject down.
//
// Model: the logarithm of a value is the sum of the image's usual one, an effect of each neighbour times
// its share, the slowness of the minion and that of the site. The usual value and the effects are
// estimated by a ridge regression per image with decaying samples. It separates neighbours that run at
// the same time, as far as they do not always run together.
type Learner struct {
	subjects map[Image]*subject
	// seen holds when each image was last in a sample, as subject or as neighbour.
	seen    map[Image]time.Duration
	minions map[Minion]*effect
	site    effect
	pairs   int
	table   *Table
	x       []float64
}

// subject is the regression of one image. Index 0 is the usual value, index i+1 the neighbour i.
type subject struct {
	neighbours []neighbour
	// origin is subtracted from all logarithms, to keep the sums small.
	origin float64
	// gram is the decayed sum of the products of each two inputs, xy of each input and the logarithm,
	// yy of the squared logarithm.
	gram [][]float64
	xy   []float64
	yy   float64
	// all is the mean of the logarithm over all samples.
	all effect
	// theta is the last solution, nil before the first.
	theta []float64
	at    time.Duration
	new   int
	// groups are the last groups of samples, the next one replaces that at nextGroup.
	groups    [recentGroups]group
	nextGroup int
}

type group struct {
	name    string
	samples int
}

// weight returns the weight of the next sample of a group: 1 for the first and 1/n for the n-th. The tasks of
// a job often run side by side and are alike in duration, so that eight of them tell much less than tasks
// of eight jobs. With 1/n², a pair takes twice as many jobs to be found.
func (s *subject) weight(name string) float64 {
	if name == "" {
		return 1
	}
	for k := range s.groups {
		if g := &s.groups[k]; g.name == name {
			g.samples++
			return 1 / float64(g.samples)
		}
	}
	s.groups[s.nextGroup] = group{name, 1}
	s.nextGroup = (s.nextGroup + 1) % recentGroups
	return 1
}

type neighbour struct {
	image   Image
	seen    time.Duration
	trusted bool
}

// effect is a decaying mean that is 0 without samples.
type effect struct {
	sum, weight float64
	at          time.Duration
}

func (e *effect) decay(now, half time.Duration) {
	f := decayFactor(now-e.at, half)
	e.sum, e.weight, e.at = e.sum*f, e.weight*f, now
}

func (e *effect) mean() float64 { return e.sum / (e.weight + effectShrinkage) }

func decayFactor(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(half))
}

// NewLearner returns a Learner without samples.
func NewLearner() *Learner {
	return &Learner{subjects: map[Image]*subject{}, seen: map[Image]time.Duration{}, minions: map[Minion]*effect{}}
}

// Table returns the trusted pairs, nil if there are none.
func (l *Learner) Table() *Table { return l.table }

// Add adds a sample and returns the pairs that have become trusted or are no longer. A sample without an
// image or with a value that is not positive is ignored.
func (l *Learner) Add(s Sample) []Change {
	if s.Image == "" || !(s.Value > 0) || math.IsInf(s.Value, 0) {
		return nil
	}
	changes := l.use(s.Image, s.Image, s.At)
	sub := l.subjects[s.Image]
	y := math.Log(s.Value)
	if sub == nil {
		sub = &subject{origin: y, gram: [][]float64{{0}}, xy: []float64{0}, at: s.At, all: effect{at: s.At}}
		l.subjects[s.Image] = sub
	}
	for _, n := range s.Neighbours {
		if n.Image != "" && n.Share > 0 {
			changes = append(changes, l.use(n.Image, s.Image, s.At)...)
			changes = append(changes, l.addPair(s.Image, sub, n.Image, s.At)...)
		}
	}
	// Only now, because an eviction may have moved the indices.
	x := append(l.x[:0], make([]float64, len(sub.neighbours)+1)...)
	l.x = x
	x[0] = 1
	for _, n := range s.Neighbours {
		if i := sub.index(n.Image); i >= 0 && n.Share > 0 {
			x[i+1] = min(n.Share, 1)
		}
	}
	y -= sub.origin
	slowness, known := l.observeSlowness(s, sub, x, y)
	if !known {
		sub.decay(s.At)
		return l.changed(append(changes, sub.dropRare(s.Image)...))
	}
	y -= slowness
	if sub.theta != nil {
		expected := 0.0
		for i, t := range sub.theta {
			expected += t * x[i]
		}
		y = expected + clamp(y-expected)
	}
	sub.add(x, y, sub.weight(s.Group), s.At)
	if sub.new++; sub.new >= evaluateEvery {
		sub.new = 0
		changes = append(changes, sub.evaluate(s.Image)...)
	}
	return l.changed(changes)
}

// changed updates the table after changes, which it returns.
func (l *Learner) changed(changes []Change) []Change {
	if len(changes) > 0 {
		l.updateTable()
	}
	return changes
}

// observeSlowness adds a sample to the slowness of its minion and of the site, and returns the sum of both
// as known before. known is false while there are too few samples of the minion.
//
// A minion's slowness is the mean distance of its samples from the mean of their image. It contains what
// neighbours do there, except for trusted pairs: an image that runs on a slow minion only would otherwise
// be blamed for it. Until a pair is trusted, its effect is therefore estimated too low.
func (l *Learner) observeSlowness(s Sample, sub *subject, x []float64, y float64) (slowness float64, known bool) {
	m := l.minion(s.Minion, s.At)
	m.decay(s.At, minionHalfLife)
	l.site.decay(s.At, siteHalfLife)
	sub.all.decay(s.At, halfLife)
	ofMinion, ofSite := m.mean(), l.site.mean()
	known = m.weight >= minSamples
	if sub.all.weight >= minSamples {
		distance := y - sub.all.sum/sub.all.weight
		for k := range sub.neighbours {
			if sub.neighbours[k].trusted {
				distance -= sub.theta[k+1] * (x[k+1] - sub.with(k)/sub.gram[0][0])
			}
		}
		m.sum, m.weight = m.sum+clamp(distance-ofSite), m.weight+1
		l.site.sum, l.site.weight = l.site.sum+clamp(distance-ofMinion), l.site.weight+1
	}
	sub.all.sum, sub.all.weight = sub.all.sum+y, sub.all.weight+1
	return ofMinion + ofSite, known
}

func clamp(v float64) float64 { return max(-maxDeviation, min(v, maxDeviation)) }

func (l *Learner) minion(id Minion, now time.Duration) *effect {
	m := l.minions[id]
	if m == nil {
		if len(l.minions) >= maxMinions {
			oldest, at := id, now+1
			for k, e := range l.minions {
				if e.at < at {
					oldest, at = k, e.at
				}
			}
			delete(l.minions, oldest)
		}
		m = &effect{at: now}
		l.minions[id] = m
	}
	return m
}

// use records that an image was in a sample. If there are too many images, it removes the one that was in
// none for the longest time, other than keep.
func (l *Learner) use(i, keep Image, now time.Duration) (changes []Change) {
	if _, known := l.seen[i]; !known && len(l.seen) >= maxImages {
		var oldest Image
		first := true
		for k, at := range l.seen {
			if k == keep {
				continue
			}
			if first || cmp.Or(cmp.Compare(at, l.seen[oldest]), cmp.Compare(k, oldest)) < 0 {
				oldest, first = k, false
			}
		}
		changes = l.removeImage(oldest)
	}
	l.seen[i] = now
	return changes
}

func (l *Learner) removeImage(i Image) (changes []Change) {
	delete(l.seen, i)
	if s := l.subjects[i]; s != nil {
		for k := len(s.neighbours) - 1; k >= 0; k-- {
			changes = append(changes, l.removePair(i, s, k)...)
		}
		delete(l.subjects, i)
	}
	for name, s := range l.subjects {
		if k := s.index(i); k >= 0 {
			changes = append(changes, l.removePair(name, s, k)...)
		}
	}
	return changes
}

// addPair records that a pair was in a sample. If there are too many pairs, it removes the one that was
// in none for the longest time.
func (l *Learner) addPair(name Image, s *subject, n Image, now time.Duration) (changes []Change) {
	if i := s.index(n); i >= 0 {
		s.neighbours[i].seen = now
		return nil
	}
	if l.pairs >= maxPairs {
		var oldest Pair
		at := time.Duration(math.MaxInt64)
		for k, o := range l.subjects {
			for _, x := range o.neighbours {
				p := Pair{k, x.image}
				if x.seen < at || x.seen == at && comparePairs(p, oldest) < 0 {
					oldest, at = p, x.seen
				}
			}
		}
		o := l.subjects[oldest.Subject]
		changes = l.removePair(oldest.Subject, o, o.index(oldest.Neighbour))
	}
	l.pairs++
	s.neighbours = append(s.neighbours, neighbour{image: n, seen: now})
	// The neighbour was absent from all samples so far.
	for i := range s.gram {
		s.gram[i] = append(s.gram[i], 0)
	}
	s.gram = append(s.gram, make([]float64, len(s.neighbours)+1))
	s.xy = append(s.xy, 0)
	if s.theta != nil {
		s.theta = append(s.theta, 0)
	}
	return changes
}

func (l *Learner) removePair(name Image, s *subject, k int) (changes []Change) {
	if s.neighbours[k].trusted {
		changes = []Change{{Pair: Pair{name, s.neighbours[k].image}, Stretch: s.stretch(k), With: s.with(k), Without: s.without(k)}}
	}
	l.pairs--
	s.neighbours = slices.Delete(s.neighbours, k, k+1)
	s.gram = slices.Delete(s.gram, k+1, k+2)
	for i := range s.gram {
		s.gram[i] = slices.Delete(s.gram[i], k+1, k+2)
	}
	s.xy = slices.Delete(s.xy, k+1, k+2)
	if s.theta != nil {
		s.theta = slices.Delete(s.theta, k+1, k+2)
	}
	return changes
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Neighbour, b.Neighbour))
}

func (l *Learner) updateTable() {
	var trusted []Pair
	for name, s := range l.subjects {
		for _, n := range s.neighbours {
			if n.trusted {
				trusted = append(trusted, Pair{name, n.image})
			}
		}
	}
	slices.SortFunc(trusted, comparePairs)
	l.table = NewTable(trusted)
}

func (s *subject) index(i Image) int {
	for k := range s.neighbours {
		if s.neighbours[k].image == i {
			return k
		}
	}
	return -1
}

func (s *subject) with(k int) float64    { return s.gram[0][k+1] }
func (s *subject) without(k int) float64 { return s.gram[0][0] - s.gram[0][k+1] }

func (s *subject) stretch(k int) float64 {
	if s.theta == nil {
		return 1
	}
	return math.Exp(s.theta[k+1])
}

func (s *subject) decay(now time.Duration) {
	f := decayFactor(now-s.at, halfLife)
	s.at = now
	for i, row := range s.gram {
		for j := range row {
			row[j] *= f
		}
		s.xy[i] *= f
	}
	s.yy *= f
}

// add adds a sample to the decayed sums.
func (s *subject) add(x []float64, y, weight float64, now time.Duration) {
	s.decay(now)
	for i, row := range s.gram {
		for j := range row {
			row[j] += weight * x[i] * x[j]
		}
		s.xy[i] += weight * x[i] * y
	}
	s.yy += weight * y * y
}

// dropRare ends the trust in pairs with too few samples left. It needs no solution of the regression, so that
// trust also ends if samples are too rare for one.
func (s *subject) dropRare(name Image) (changes []Change) {
	for k := range s.neighbours {
		n := &s.neighbours[k]
		if n.trusted && min(s.with(k), s.without(k)) < minSamples/2 {
			n.trusted = false
			changes = append(changes, Change{Pair: Pair{name, n.image}, Stretch: s.stretch(k), With: s.with(k), Without: s.without(k)})
		}
	}
	return changes
}

// evaluate solves the regression and returns the pairs that have become trusted or are no longer.
func (s *subject) evaluate(name Image) (changes []Change) {
	if s.gram[0][0] < minSamples {
		return s.dropRare(name)
	}
	theta, variances := solve(s.gram, s.xy)
	if theta == nil {
		return nil // not solvable within the precision of the numbers
	}
	s.theta = theta
	// The sum of the squared residuals, and the number of samples that the estimate leaves for it.
	squares, free := s.yy, s.gram[0][0]-1
	for i, row := range s.gram {
		squares -= 2 * theta[i] * s.xy[i]
		for j := range row {
			squares += theta[i] * row[j] * theta[j]
		}
		if i > 0 && row[0] >= 1 {
			free--
		}
	}
	free = max(free, 1)
	deviation := max(math.Sqrt(max(squares, 0)/free), minDeviation)
	for k := range s.neighbours {
		n := &s.neighbours[k]
		least, stretch, certainty := float64(minSamples), minStretch, float64(minCertainty)
		if n.trusted {
			least, stretch, certainty = minSamples/2, keepStretch, keepCertainty
		}
		trusted := s.with(k) >= least && s.without(k) >= least && s.stretch(k) >= stretch &&
			theta[k+1] >= certainty*(1+fewSamples/free)*deviation*math.Sqrt(variances[k+1])
		if trusted != n.trusted {
			n.trusted = trusted
			changes = append(changes, Change{Pair: Pair{name, n.image}, Trusted: trusted, Stretch: s.stretch(k), With: s.with(k), Without: s.without(k)})
		}
	}
	return changes
}

// solve returns the ridge solution and the diagonal of the inverse matrix, nil if the matrix is singular.
// The first input is not shrunk.
func solve(gram [][]float64, xy []float64) (theta, variances []float64) {
	n := len(xy)
	// chol is the lower triangular matrix with chol * transposed chol = gram + shrinkage.
	chol := make([]float64, n*n)
	for i := range n {
		for j := range i + 1 {
			sum := gram[i][j]
			if i == j && i > 0 {
				sum += shrinkage
			}
			for k := range j {
				sum -= chol[i*n+k] * chol[j*n+k]
			}
			if i != j {
				chol[i*n+j] = sum / chol[j*n+j]
				continue
			}
			if sum <= 1e-9 {
				return nil, nil
			}
			chol[i*n+i] = math.Sqrt(sum)
		}
	}
	// column solves chol * v = b from index first on; b is 0 before that.
	column := func(b []float64, first int) {
		for i := first; i < n; i++ {
			for k := first; k < i; k++ {
				b[i] -= chol[i*n+k] * b[k]
			}
			b[i] /= chol[i*n+i]
		}
	}
	theta, variances = slices.Clone(xy), make([]float64, n)
	column(theta, 0)
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			theta[i] -= chol[k*n+i] * theta[k]
		}
		theta[i] /= chol[i*n+i]
	}
	unit := make([]float64, n)
	for i := range n {
		clear(unit)
		unit[i] = 1
		column(unit, i)
		for _, v := range unit[i:] {
			variances[i] += v * v
		}
	}
	return theta, variances
}
