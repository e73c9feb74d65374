// Package archive stores the request counts of the service-level burn report in the platform's store, where they outlive the process that
// counted them.
//
// During an hour each process overwrites its part, the record of its own counts. After the hour the holder of the duty seals the parts and
// merges them into one hour record, and later merges the hour records into a block of 3 h. A merged record lists the parts that it
// includes, so that every step can be repeated and a reader counts each part once.
package archive
