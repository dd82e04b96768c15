package node

// NewDisk is the journal that tells how its syncs went.
var NewDisk = newDisk
