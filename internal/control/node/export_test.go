package node

// NewMonitoredJournal exports newMonitoredJournal for tests.
var NewMonitoredJournal = newMonitoredJournal
