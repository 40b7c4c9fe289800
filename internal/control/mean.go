package control

// movingMean follows a value. The first sample counts whole, each later one by a
// weight.
type movingMean struct {
	mean    float64
	samples int
}

func (m *movingMean) add(value, weight float64) {
	m.samples++
	if m.samples == 1 {
		m.mean = value
		return
	}
	m.mean += weight * (value - m.mean)
}
