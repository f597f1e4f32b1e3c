package hookweir.lab.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts the messages and bytes of each role and message kind. */
final class Traffic {
    /**
     * What one role sent and received of one message kind.
     *
     * @param messages HTTP messages sent and received; for connections, the number of connections opened
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

    /** Counts a request and its immediate response. */
    void recordCall(Role from, Role to, MessageKind kind, int requestBytes, int responseBytes) {
        int out = WireSize.dataBytes(requestBytes) + WireSize.acknowledgementBytes(responseBytes, false);
        int back = WireSize.dataBytes(responseBytes) + WireSize.acknowledgementBytes(requestBytes, true);
        count(from, to, kind, 2, out, back);
    }

    /** Counts a message without an immediate response. */
    void recordMessage(Role from, Role to, MessageKind kind, int bytes) {
        count(from, to, kind, 1, WireSize.dataBytes(bytes), WireSize.acknowledgementBytes(bytes, false));
    }

    /** Counts the segments that open and close a connection. */
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

    /** Returns what a role sent and received of one message kind. */
    Tally tally(Role role, MessageKind kind) {
        return tallies[role.ordinal()][kind.ordinal()];
    }

    /** Returns the total control traffic of a role. */
    Tally controlTally(Role role) {
        Tally sum = Tally.NONE;
        for (MessageKind kind : MessageKind.values()) {
            sum = kind.isControl ? sum.plus(tally(role, kind)) : sum;
        }
        return sum;
    }

    /** Returns the traffic counted since an earlier copy was made. */
    Traffic since(Traffic earlier) {
        Traffic difference = new Traffic();
        for (Role role : Role.values()) {
            for (MessageKind kind : MessageKind.values()) {
                difference.tallies[role.ordinal()][kind.ordinal()] = tally(role, kind).minus(earlier.tally(role, kind));
            }
        }
        return difference;
    }

    /** Returns a copy of the current counts. */
    Traffic copy() {
        return since(new Traffic());
    }

    /** Returns the tallies by role and then by message kind, without kinds that have no messages. */
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
