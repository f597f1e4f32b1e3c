package hookweir.net;

/** Writes plain log lines to standard error. */
public final class Log {
    private Log() {
    }

    /** Writes one line. */
    public static void line(String text) {
        System.err.println(text);
    }
}
