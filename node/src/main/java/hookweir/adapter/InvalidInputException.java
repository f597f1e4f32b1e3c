package hookweir.adapter;

/** Thrown for input that violates the simulator protocol. The message names the fault and its byte position in the input. */
final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String fault, long bytePosition) {
        super(fault + " at byte " + bytePosition);
    }
}
