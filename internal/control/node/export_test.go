package node

// NewMonitoredJournal is the journal that tells how its syncs went.
var NewMonitoredJournal = newDisk
