package experiment

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference compares a metric of one variant with the same metric of the first, paired by seed and repeat.
type Difference struct {
	Pairs     int
	Mean      float64
	Low, High float64 // 95% bootstrap interval of the mean, percentile method
	SignTestP float64 // two-sided p-value of the sign test, without ties
}

const resamples = 10_000

// compare returns the difference from a to b, with a[i] and b[i] as pairs. The resampling is seeded, so the same values
// give the same interval.
func compare(a, b []float64) Difference {
	d := Difference{Pairs: len(a), SignTestP: 1}
	if len(a) == 0 {
		return d
	}
	diffs := make([]float64, len(a))
	up, down := 0, 0
	for i := range a {
		diffs[i] = b[i] - a[i]
		switch {
		case diffs[i] > 0:
			up++
		case diffs[i] < 0:
			down++
		}
	}
	d.Mean = stat.Mean(diffs, nil)
	r := rand.New(rand.NewPCG(1, uint64(len(a))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range diffs {
			sum += diffs[r.IntN(len(diffs))]
		}
		means[i] = sum / float64(len(diffs))
	}
	sort.Float64s(means)
	d.Low, d.High = stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
	if n := up + down; n > 0 {
		d.SignTestP = math.Min(1, 2*distuv.Binomial{N: float64(n), P: 0.5}.CDF(float64(min(up, down))))
	}
	return d
}

// medianAndWorst returns the median and the worst of x. The worst value is the lowest if low is true, else the highest.
func medianAndWorst(x []float64, low bool) (median, worst float64) {
	if len(x) == 0 {
		return 0, 0
	}
	s := append([]float64(nil), x...)
	sort.Float64s(s)
	median = s[len(s)/2]
	if len(s)%2 == 0 {
		median = (median + s[len(s)/2-1]) / 2
	}
	if low {
		return median, s[0]
	}
	return median, s[len(s)-1]
}
