package hookweir.net.server;

/** Handles complete requests, on the loop. Each request must get one response, by {@link HttpServer#respond}. */
public interface RequestHandler {
    /** Handles a request. Its body counts as held until {@link HttpServer#releaseBody}. */
    void handle(InboundConnection connection, InboundRequest request);

    /** Whether a request for this path submits a job. */
    boolean isJob(String path);

    /** The number of the request class with this name, or -1. */
    int classNumber(String className);

    /**
     * How long the client of a job waits for its response, in µs.
     *
     * @param className the name of its class, as sent, or null
     * @param deadlineMs its Req-Deadline-Ms header, or null
     */
    long timeoutUs(String className, String deadlineMs);

    /** Called when a job of the named class is rejected for lack of memory before its body was read. */
    void jobRejected(String className);

    /** The value of the Retry-After header for rejected jobs, or null. */
    String retryAfter();
}
