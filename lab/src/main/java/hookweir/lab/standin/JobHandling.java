package hookweir.lab.standin;

/** What stub workers do with the jobs that they receive. */
public enum JobHandling {
    /** Accept each job and report its end after the service time. */
    SERVE,
    /** Accept each job and never end it. */
    HANG,
    /** Neither accept nor decline. */
    NO_RESPONSE,
    /** Decline each job. */
    DECLINE
}
