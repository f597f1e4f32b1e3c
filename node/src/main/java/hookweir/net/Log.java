package hookweir.net;

/** The log: plain lines on standard error. */
public final class Log {
    private Log() {
    }

    /** Writes one line. */
    public static void line(String text) {
        System.err.println(text);
    }
}
