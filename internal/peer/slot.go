package peer

import "sync"

// runnerSlot shares the runner of a stream between its two goroutines.
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
