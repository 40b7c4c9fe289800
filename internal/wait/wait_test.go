package wait

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestForEndsAfterDurationOrCancellation(t *testing.T) {
	must.True(t, For(context.Background(), time.Millisecond))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	must.False(t, For(ended, time.Hour))
}
