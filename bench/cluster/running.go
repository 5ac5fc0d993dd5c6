package cluster

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// RunningSystem is a system whose processes have been started.
type RunningSystem struct {
	*System

	binary    string
	processes map[string]*exec.Cmd
}

// Start starts every process of a system. binary is the path of the daemon. If a
// process fails to start, those already started are killed.
func Start(binary string, s *System) (*RunningSystem, error) {
	r := &RunningSystem{System: s, binary: binary, processes: map[string]*exec.Cmd{}}
	for _, p := range s.Controls {
		if err := r.Launch("control", p); err != nil {
			r.Stop()
			return nil, err
		}
	}
	for _, p := range s.Entries {
		if err := r.Launch("entry", p); err != nil {
			r.Stop()
			return nil, err
		}
	}
	return r, nil
}

// Launch starts one process and appends its output to the file "NAME.log".
func (r *RunningSystem) Launch(role string, p Process) error {
	log, err := os.OpenFile(r.LogFile(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open log of %q", p.Name)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(r.binary, role, "--config", p.SettingsFile)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %q", p.Name)
	}
	r.processes[p.Name] = c
	return nil
}

// LogFile returns the path of the log file of a process.
func (r *RunningSystem) LogFile(p Process) string { return filepath.Join(r.Folder, p.Name+".log") }

// PID returns the process id of a running process, or 0 if it is not running.
func (r *RunningSystem) PID(name string) int {
	if c, ok := r.processes[name]; ok {
		return c.Process.Pid
	}
	return 0
}

// Signal sends a signal to a running process.
func (r *RunningSystem) Signal(name string, s os.Signal) error {
	c, ok := r.processes[name]
	if !ok {
		return errors.Newf("process %q is not running", name)
	}
	return errors.Wrapf(c.Process.Signal(s), "signal %q", name)
}

// Kill sends SIGKILL to one process and waits until it has ended.
func (r *RunningSystem) Kill(name string) error {
	err := r.Signal(name, os.Kill)
	if c, ok := r.processes[name]; ok {
		_ = c.Wait()
	}
	delete(r.processes, name)
	return err
}

// Stop kills every process.
func (r *RunningSystem) Stop() {
	for name := range r.processes {
		_ = r.Kill(name)
	}
}
