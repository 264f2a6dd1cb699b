package proxy

import (
	"time"
)

// AdmissionStatus describes admission control for operators.
type AdmissionStatus struct {
	// Limit is the largest number of concurrent requests.
	Limit int `json:"limit"`
	// InFlight and Queued are the numbers of running and of queued requests.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// QueueDelay is the expected wait of the lowest admitted class, as a Go
	// duration.
	QueueDelay string `json:"queueDelay"`
}

// Status returns the current state of admission control.
func (a *AdaptiveAdmitter) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	hint := a.controller.Hint(time.Now())
	return AdmissionStatus{
		Limit:      hint.Limit,
		InFlight:   hint.InFlight,
		Queued:     a.controller.Queued(),
		QueueDelay: hint.QueueDelay.String(),
	}
}
