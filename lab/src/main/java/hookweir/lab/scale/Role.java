package hookweir.lab.scale;

/** Who sends or gets a message. */
enum Role { SCHEDULER, LIST_SERVICE, WORKER, CONFIGURATION, CLIENT }
