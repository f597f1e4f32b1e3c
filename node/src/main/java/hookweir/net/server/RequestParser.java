package hookweir.net.server;

import hookweir.Contract;
import hookweir.config.ConfigReader;
import java.util.List;
import java.util.Map;

/** Makes the module's request of a client's headers. */
public final class RequestParser {
    private static final long MOST_DEADLINE_MS = 24 * 3_600_000L;
    private static final int MOST_HEX_DIGITS = 16;
    private static final int MOST_DEADLINE_DIGITS = 9;
    private static final int MOST_ID_CHARS = 128;
    /** The tenant of a request that names none of those in the settings. */
    public static final int NOBODY = -1;

    private final Map<String, Integer> classes;
    private final List<Contract.RequestClass> classList;
    private final Map<String, Integer> tenants;

    /** Headers that make no request; the message says which. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequest(String what) {
            super(what, null, false, false);
        }
    }

    /** Knows the classes of these numbers, of the classes in that list, and the tenants of these; none where requests have no owner. */
    public RequestParser(Map<String, Integer> classNumbers, List<Contract.RequestClass> classList, Map<String, Integer> tenantNumbers) {
        tenants = tenantNumbers;
        classes = classNumbers;
        this.classList = classList;
    }

    /** The request, numbered and with times of this clock. */
    public Contract.Request parse(IngressRequest.Headers h, String path, int id, long nowUs) throws BadRequest {
        Contract.Request r = new Contract.Request();
        r.id = id;
        if (h.id() == null || h.id().isEmpty() || h.id().length() > MOST_ID_CHARS || !isId(h.id())) {
            throw new BadRequest("Req-Id is missing or malformed");
        }
        int number = numberOf(h.kind());
        if (number < 0) {
            throw new BadRequest("Req-Kind is missing or unknown");
        }
        r.requestClass = number;
        // A client that names no deadline waits as long as its class does.
        long waitUs = h.deadlineMs() == null ? classList.get(number).deadlineUs
            : 1000 * millis(h.deadlineMs());
        r.deadlineAtUs = nowUs + waitUs;
        r.costHintUs = h.cost() == null ? 0 : whole("Req-Cost", h.cost(), Integer.MAX_VALUE * 2L);
        r.clientRetry = "1".equals(h.retry());
        r.key = key(path);
        r.tenant = tenantOf(h.owner());
        if (h.extra() != null && !h.extra().isEmpty()) {
            extras(r, h.extra());
        }
        return r;
    }

    /** The number of a class as clients name it, or -1. */
    public int numberOf(String kind) {
        Integer number = kind == null ? null : classes.get(ConfigReader.toWireToken(kind));
        return number == null ? -1 : number;
    }

    /** Where requests have owners, one without a known owner has no share in the fleet: nobody's, but a job all the same. */
    private int tenantOf(String owner) {
        return tenants.isEmpty() ? 0 : owner == null ? NOBODY : tenants.getOrDefault(ConfigReader.toWireToken(owner), NOBODY);
    }

    private static void extras(Contract.Request r, String text) throws BadRequest {
        for (String pair : text.split(",")) {
            int eq = pair.indexOf('=');
            if (eq <= 0) {
                throw new BadRequest("Req-Extra must hold name=value pairs");
            }
            double value = number("Req-Extra", pair.substring(eq + 1).strip());
            switch (pair.substring(0, eq).strip()) {
                case "width", "slots" -> r.slots = value;
                case "ram_units", "memory" -> r.memory = value;
                default -> { }
            }
        }
    }

    /** What the request is about: the path's last part; 0 where it has just the one that all share. */
    private static long key(String path) {
        int slash = path.lastIndexOf('/');
        String last = path.substring(slash + 1);
        if (slash <= 0 || last.isEmpty()) {
            return 0;
        }
        long value = 0;
        long hash = 1125899906842597L;
        boolean hex = last.length() <= MOST_HEX_DIGITS;
        for (int i = 0; i < last.length(); i++) {
            int digit = Character.digit(last.charAt(i), 16);
            hex &= digit >= 0;
            value = value << 4 | digit & 0xf;
            hash = 31 * hash + last.charAt(i);
        }
        return hex ? value : hash;
    }

    /** Plain digits only: a deadline that is guessed at is somebody else's. */
    private static long millis(String text) throws BadRequest {
        long ms = text.isEmpty() || text.length() > MOST_DEADLINE_DIGITS ? -1 : 0;
        for (int i = 0; i < text.length() && ms >= 0; i++) {
            char c = text.charAt(i);
            ms = c >= '0' && c <= '9' ? 10 * ms + c - '0' : -1;
        }
        if (ms < 0 || ms > MOST_DEADLINE_MS) {
            throw new BadRequest("Req-Deadline-Ms is not a whole number of milliseconds up to a day");
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

    private static long whole(String header, String text, long most) throws BadRequest {
        double v = number(header, text.strip());
        if (v < 0 || v > most) {
            throw new BadRequest(header + " is out of range");
        }
        return (long) v;
    }

    private static double number(String header, String text) throws BadRequest {
        try {
            double v = Double.parseDouble(text);
            if (Double.isFinite(v)) {
                return v;
            }
        } catch (NumberFormatException e) {
            // falls through to the plain message
        }
        throw new BadRequest(header + " is not a number");
    }
}
