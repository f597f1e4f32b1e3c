package hookweir.lab.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts messages and bytes of each role and kind. */
final class Traffic {
    /**
     * What one role sent and got of one kind.
     *
     * @param messages HTTP messages sent and received; for connections, how many were opened
     */
    record Tally(long messages, long bytesIn, long bytesOut) {
        static final Tally NONE = new Tally(0, 0, 0);

        Tally plus(Tally other) {
            return new Tally(messages + other.messages, bytesIn + other.bytesIn, bytesOut + other.bytesOut);
        }

        Tally minus(Tally other) {
            return new Tally(messages - other.messages, bytesIn - other.bytesIn, bytesOut - other.bytesOut);
        }

        long bytes() {
            return bytesIn + bytesOut;
        }
    }

    private final Tally[][] tallies = new Tally[Role.values().length][MessageKind.values().length];

    Traffic() {
        for (Tally[] row : tallies) {
            java.util.Arrays.fill(row, Tally.NONE);
        }
    }

    /** A request and its answer, which follows at once. */
    void recordCall(Role from, Role to, MessageKind kind, int requestBytes, int answerBytes) {
        int out = WireSize.dataBytes(requestBytes) + WireSize.acknowledgementBytes(answerBytes, false);
        int back = WireSize.dataBytes(answerBytes) + WireSize.acknowledgementBytes(requestBytes, true);
        count(from, to, kind, 2, out, back);
    }

    /** A message that no answer follows at once. */
    void recordMessage(Role from, Role to, MessageKind kind, int bytes) {
        count(from, to, kind, 1, WireSize.dataBytes(bytes), WireSize.acknowledgementBytes(bytes, false));
    }

    /** A connection, from its first segment to its last. */
    void recordConnection(Role from, Role to, MessageKind kind) {
        count(from, to, kind, 1, WireSize.INITIATOR_OVERHEAD_BYTES, WireSize.ACCEPTOR_OVERHEAD_BYTES);
    }

    private void count(Role from, Role to, MessageKind kind, int messages, int out, int back) {
        add(from, kind, new Tally(messages, back, out));
        add(to, kind, new Tally(messages, out, back));
    }

    private void add(Role role, MessageKind kind, Tally tally) {
        tallies[role.ordinal()][kind.ordinal()] = tally(role, kind).plus(tally);
    }

    /** What was counted of it. */
    Tally tally(Role role, MessageKind kind) {
        return tallies[role.ordinal()][kind.ordinal()];
    }

    /** Control traffic of a role. */
    Tally controlTally(Role role) {
        Tally sum = Tally.NONE;
        for (MessageKind kind : MessageKind.values()) {
            sum = kind.isControl ? sum.plus(tally(role, kind)) : sum;
        }
        return sum;
    }

    /** What came since an earlier copy. */
    Traffic since(Traffic earlier) {
        Traffic difference = new Traffic();
        for (Role role : Role.values()) {
            for (MessageKind kind : MessageKind.values()) {
                difference.tallies[role.ordinal()][kind.ordinal()] = tally(role, kind).minus(earlier.tally(role, kind));
            }
        }
        return difference;
    }

    /** A copy. */
    Traffic copy() {
        return since(new Traffic());
    }

    /** Role, then kind, without those of which nothing was seen. */
    Map<String, Map<String, Tally>> toTable() {
        Map<String, Map<String, Tally>> table = new LinkedHashMap<>();
        for (Role role : Role.values()) {
            Map<String, Tally> kinds = new LinkedHashMap<>();
            for (MessageKind kind : MessageKind.values()) {
                if (tally(role, kind).messages > 0) {
                    kinds.put(kind.name().toLowerCase(java.util.Locale.ROOT), tally(role, kind));
                }
            }
            table.put(role.name().toLowerCase(java.util.Locale.ROOT), kinds);
        }
        return table;
    }
}
