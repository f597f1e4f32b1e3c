package hookweir.config;

/** Thrown for a setting with an invalid value; names the key that holds it. */
public final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Path of the invalid key. */
    public final String key;

    InvalidSettingException(String key, String fault) {
        super("setting " + key + " " + fault);
        this.key = key;
    }
}
