package hookweir.adapter;

/** The input does not follow the wire. The message says what is wrong and at which byte of the input. */
final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String what, long atByte) {
        super(what + " at byte " + atByte);
    }
}
