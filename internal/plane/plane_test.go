package plane_test

import (
	"testing"
	"time"
)

func TestModel(t *testing.T) {
	for name, s := range map[string]scene{
		"calm 30":  {halls: 3, boxes: 30, length: 12 * time.Second, measured: 4 * time.Second},
		"calm 100": {halls: 5, boxes: 100, length: 12 * time.Second, measured: 4 * time.Second},
		"lossy 100": {halls: 5, boxes: 100, loss: 0.025, length: 12 * time.Second, measured: 4 * time.Second},
		"calm 300": {halls: 5, boxes: 295, length: 12 * time.Second, measured: 4 * time.Second},
		"lossy 300": {halls: 5, boxes: 295, loss: 0.025, length: 12 * time.Second, measured: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			t.Log(play(t, s))
			t.Log(time.Since(began))
		})
	}
}
