package hookweir.lab.scale;

/** The role of a process that sends or receives messages. */
enum Role { SCHEDULER, LIST_SERVICE, WORKER, CONFIGURATION, CLIENT }
