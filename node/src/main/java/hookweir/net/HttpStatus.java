package hookweir.net;

/** The HTTP status codes that the scheduler sends or receives, named as in RFC 9110 and RFC 6585. */
public final class HttpStatus {
    /** 200. */
    public static final int OK = 200;
    /** 202: a worker accepted a job. */
    public static final int ACCEPTED = 202;
    /** 204. */
    public static final int NO_CONTENT = 204;
    /** 400. */
    public static final int BAD_REQUEST = 400;
    /** 404. */
    public static final int NOT_FOUND = 404;
    /** 405. */
    public static final int METHOD_NOT_ALLOWED = 405;
    /** 408. */
    public static final int REQUEST_TIMEOUT = 408;
    /** 409. */
    public static final int CONFLICT = 409;
    /** 429: the request can be retried safely. */
    public static final int TOO_MANY_REQUESTS = 429;
    /** 500: the job may have run. */
    public static final int INTERNAL_SERVER_ERROR = 500;
    /** 503. */
    public static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {
    }
}
