package valuestore_test

import (
	"testing"
	"time"

	"github.com/toucancove/toucancove/internal/standin/flood"
	"github.com/toucancove/toucancove/valuestore"
)

func TestEndlessResponsesAreNotKept(t *testing.T) {
	flood.CheckReader(t, 2, valuestore.RevisionHeader+": 1\r\n", func(address string) error {
		client, err := valuestore.NewClient(address)
		if err != nil {
			return err
		}
		defer client.Close()
		_, err = client.Get(t.Context(), "keys/0", 0, time.Second)
		return err
	})
}
