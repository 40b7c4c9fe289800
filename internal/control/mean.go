package control

// movingMean is an exponentially weighted moving mean. The first sample sets the mean; each
// later one has the weight given to add.
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
