package telemetry

import (
	"context"
	"math"
)

// SetShares records the part of the quotas that this Instance and the peers it hears may use, and the
// number of lost Instances whose shares the others use.
func (m *Metrics) SetShares(part float64, takenOver int) {
	m.quotaPart.Record(context.Background(), int64(math.Round(100*part)))
	m.sharesTakenOver.Record(context.Background(), int64(takenOver))
}
