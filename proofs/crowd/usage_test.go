//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	sampleInterval = 10 * time.Millisecond
	// maxPeakMiB is the memory from which a process is killed, to spare the machine.
	maxPeakMiB = 4 << 10
)

// usage is the peak of what a process has held so far.
type usage struct {
	mu          sync.Mutex
	peakKiB     int
	descriptors int
}

// watch samples the process until it has ended. It kills a process that holds more than maxPeakMiB.
func (u *usage) watch(process *os.Process, exited <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		u.sample(process.Pid)
		if peakMiB, _ := u.peak(); peakMiB > maxPeakMiB {
			_ = process.Kill()
		}
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
	}
}

// sample keeps the peaks of earlier samples if the process has ended.
func (u *usage) sample(pid int) {
	descriptors := countDescriptors(pid)
	peakKiB := readPeakKiB(pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peakKiB, u.descriptors = max(u.peakKiB, peakKiB), max(u.descriptors, descriptors)
}

// peak returns the peak of the resident memory in MiB, rounded up, and that of the open descriptors.
func (u *usage) peak() (peakMiB, descriptors int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	const kibibytes = 1 << 10
	return (u.peakKiB + kibibytes - 1) / kibibytes, u.descriptors
}

// countDescriptors returns the number of open descriptors of a process, 0 if it has ended.
func countDescriptors(pid int) int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = dir.Close() }()
	names, _ := dir.Readdirnames(-1)
	return len(names)
}

// readPeakKiB returns the peak of the resident memory of a process, 0 if it has ended.
func readPeakKiB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmHWM:" {
			kibibytes, _ := strconv.Atoi(string(fields[1]))
			return kibibytes
		}
	}
	return 0
}
