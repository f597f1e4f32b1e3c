package hookweir.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against a log flooded by a burst of events: the lines per second are bounded, and dropped events are counted. */
final class EventLogTest {
    private static final int EVENTS = 1_000;
    private static final long SECOND_US = 1_000_000;
    private long nowUs = SECOND_US;
    private int textsBuilt;

    private String text() {
        textsBuilt++;
        return "event";
    }

    @Test
    void excessEventsAreDroppedAndCounted() {
        Invariants invariants = new Invariants();
        EventLog log = new EventLog(() -> nowUs, invariants);
        for (int i = 0; i < EVENTS; i++) {
            log.log(this::text);
        }
        assertEquals(EventLog.BURST_LINES, textsBuilt);
        assertEquals(EVENTS - EventLog.BURST_LINES, invariants.counted("events not logged"));
        nowUs += SECOND_US;
        for (int i = 0; i < EVENTS; i++) {
            log.log(this::text);
        }
        assertEquals(EventLog.BURST_LINES + EventLog.LINES_PER_S, textsBuilt);
    }
}
