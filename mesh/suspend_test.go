package mesh

import (
	"testing"
	"time"
)

func TestSuspensionIsReportedOnce(t *testing.T) {
	s, err := newSuspension()
	if err != nil {
		t.Fatal(err)
	}
	if stood, err := s.since(); err != nil || stood != 0 {
		t.Errorf("stood still for %v, error %v, want neither", stood, err)
	}
	s.ahead -= 3 * time.Second // as if the machine had stood still since
	if stood, err := s.since(); err != nil || stood.Round(time.Second) != 3*time.Second {
		t.Errorf("stood still for %v, error %v, want 3 s", stood, err)
	}
	if stood, err := s.since(); err != nil || stood != 0 {
		t.Errorf("stood still for %v, error %v after the report, want neither", stood, err)
	}
}
