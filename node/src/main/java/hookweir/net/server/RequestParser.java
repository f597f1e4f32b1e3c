package hookweir.net.server;

import hookweir.Contract;
import hookweir.config.ConfigReader;
import java.util.List;
import java.util.Map;

/** Converts a client's headers to a request of the scheduling module. */
public final class RequestParser {
    private static final long US_PER_MS = 1_000;
    private static final long MAX_DEADLINE_MS = 24 * 3_600_000L;
    private static final int MAX_HEX_KEY_DIGITS = 16;
    private static final int MAX_DEADLINE_DIGITS = 9;
    /** Maximum length of a request id. */
    public static final int MAX_ID_CHARS = 128;
    /** The tenant of a request whose owner is missing or unknown. */
    public static final int NO_TENANT = -1;

    private final Map<String, Integer> classNumberByName;
    private final List<Contract.RequestClass> classList;
    private final Map<String, Integer> tenantNumberByName;

    /** Thrown for invalid headers; the message names the header. */
    public static final class BadRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequestException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Creates a parser.
     *
     * @param classNumbers the numbers of the request classes, by their wire names
     * @param classList the request classes, by number
     * @param tenantNumbers the numbers of the tenants, by their wire names; empty if requests have no owner
     */
    public RequestParser(Map<String, Integer> classNumbers, List<Contract.RequestClass> classList, Map<String, Integer> tenantNumbers) {
        tenantNumberByName = tenantNumbers;
        classNumberByName = classNumbers;
        this.classList = classList;
    }

    /** Parses a request with this internal number; its deadline is computed from the current time nowUs. */
    public Contract.Request parse(InboundRequest.Headers headers, String path, int id, long nowUs) throws BadRequestException {
        Contract.Request request = new Contract.Request();
        request.id = id;
        if (headers.id() == null || headers.id().isEmpty() || headers.id().length() > MAX_ID_CHARS || !isId(headers.id())) {
            throw new BadRequestException("Req-Id is missing or malformed");
        }
        int classNumber = classNumber(headers.kind());
        if (classNumber < 0) {
            throw new BadRequestException("Req-Kind is missing or unknown");
        }
        request.requestClass = classNumber;
        request.deadlineAtUs = nowUs + timeoutUs(classNumber, headers.deadlineMs());
        request.costHintUs = headers.cost() == null ? 0 : parseWholeNumber("Req-Cost", headers.cost(), Integer.MAX_VALUE * 2L);
        request.clientRetry = "1".equals(headers.retry());
        request.key = parseKey(path);
        request.tenant = tenantNumber(headers.owner());
        if (headers.extra() != null && !headers.extra().isEmpty()) {
            parseExtras(request, headers.extra());
        }
        return request;
    }

    /** Without a Req-Deadline-Ms header the deadline of the class applies. */
    private long timeoutUs(int classNumber, String deadlineMs) throws BadRequestException {
        return deadlineMs == null ? classList.get(classNumber).deadlineUs : US_PER_MS * parseDeadlineMs(deadlineMs);
    }

    /**
     * How long a client waits for the response to a request with these headers, which may be null, in µs; the longest possible time if the
     * request is invalid.
     */
    public long timeoutUs(String className, String deadlineMs) {
        int classNumber = classNumber(className);
        try {
            return classNumber < 0 ? MAX_DEADLINE_MS * US_PER_MS : timeoutUs(classNumber, deadlineMs);
        } catch (BadRequestException e) {
            return MAX_DEADLINE_MS * US_PER_MS; // it gets its error once it is complete
        }
    }

    /** The number of the class with this name as clients send it, or -1. */
    public int classNumber(String className) {
        Integer number = className == null ? null : classNumberByName.get(ConfigReader.toWireToken(className));
        return number == null ? -1 : number;
    }

    /**
     * The number of the owner's tenant. Where tenants are configured, a request without a known owner is accepted too, but
     * belongs to no tenant and has no share in the capacity.
     */
    private int tenantNumber(String owner) {
        return tenantNumberByName.isEmpty() ? 0 : owner == null ? NO_TENANT : tenantNumberByName.getOrDefault(ConfigReader.toWireToken(owner), NO_TENANT);
    }

    private static void parseExtras(Contract.Request request, String text) throws BadRequestException {
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            if (separator <= 0) {
                throw new BadRequestException("Req-Extra must hold name=value pairs");
            }
            double value = parseNumber("Req-Extra", pair.substring(separator + 1).strip());
            switch (pair.substring(0, separator).strip()) {
                case "width", "slots" -> request.slots = value;
                case "ram_units", "memory" -> request.memory = value;
                default -> { }
            }
        }
    }

    /**
     * The key of the object that the request is about, from the last segment of the path: its value if it is a short
     * hexadecimal number, otherwise a hash. 0 if the path has only one segment, as that is the same for all requests.
     */
    private static long parseKey(String path) {
        int slash = path.lastIndexOf('/');
        String last = path.substring(slash + 1);
        if (slash <= 0 || last.isEmpty()) {
            return 0;
        }
        long value = 0;
        long hash = 1125899906842597L;
        boolean hex = last.length() <= MAX_HEX_KEY_DIGITS;
        for (int i = 0; i < last.length(); i++) {
            int digit = Character.digit(last.charAt(i), 16);
            hex &= digit >= 0;
            value = value << 4 | digit & 0xf;
            hash = 31 * hash + last.charAt(i);
        }
        return hex ? value : hash;
    }

    /** Accepts plain digits only: guessing at a malformed deadline could apply a wrong one. */
    private static long parseDeadlineMs(String text) throws BadRequestException {
        long ms = text.isEmpty() || text.length() > MAX_DEADLINE_DIGITS ? -1 : 0;
        for (int i = 0; i < text.length() && ms >= 0; i++) {
            char c = text.charAt(i);
            ms = c >= '0' && c <= '9' ? 10 * ms + c - '0' : -1;
        }
        if (ms < 0 || ms > MAX_DEADLINE_MS) {
            throw new BadRequestException("Req-Deadline-Ms is not a whole number of milliseconds up to a day");
        }
        return ms;
    }

    private static boolean isId(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || "._~-".indexOf(c) >= 0)) {
                return false;
            }
        }
        return true;
    }

    private static long parseWholeNumber(String header, String text, long max) throws BadRequestException {
        double value = parseNumber(header, text.strip());
        if (value < 0 || value > max) {
            throw new BadRequestException(header + " is out of range");
        }
        return (long) value;
    }

    private static double parseNumber(String header, String text) throws BadRequestException {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // falls through to the exception below
        }
        throw new BadRequestException(header + " is not a number");
    }
}
