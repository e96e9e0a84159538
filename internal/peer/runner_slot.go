package peer

import "sync"

// runnerSlot holds the current runner of a stream for the goroutines that receive requests
// and handle them.
type runnerSlot struct {
	mu     sync.Mutex
	runner Runner
}

func (s *runnerSlot) set(r Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner = r
}

func (s *runnerSlot) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner != nil {
		s.runner.Cancel()
	}
}

func (s *runnerSlot) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runner != nil {
		s.runner.Abort()
	}
}
