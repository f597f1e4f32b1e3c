package hookweir.config;

/** A setting that can't be used, with the key that holds it. */
public final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The faulty key, as a path. */
    public final String key;

    InvalidSettingException(String key, String fault) {
        super("setting " + key + " " + fault);
        this.key = key;
    }
}
