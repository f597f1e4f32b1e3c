package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The estimate of bytes on the wire from bytes of HTTP. */
class WireSizeTest {
    @Test
    void countsHeadersOfEachSegment() {
        assertEquals(1 + 52, WireSize.dataBytes(1));
        assertEquals(1448 + 52, WireSize.dataBytes(1448));
        assertEquals(1449 + 104, WireSize.dataBytes(1449));
    }

    @Test
    void countsOneAcknowledgementForEveryTwoSegmentsAndForALastUnansweredOne() {
        assertEquals(0, WireSize.acknowledgementBytes(100, true));
        assertEquals(52, WireSize.acknowledgementBytes(100, false));
        assertEquals(52, WireSize.acknowledgementBytes(2 * 1448, false));
        assertEquals(104, WireSize.acknowledgementBytes(2 * 1448 + 1, false));
    }

    @Test
    void countsACallInBothDirectionsAtBothEnds() {
        Traffic traffic = new Traffic();
        traffic.recordCall(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, 40, 43);
        assertEquals(new Traffic.Tally(2, 43 + 52, 40 + 52 + 52), traffic.tally(Role.SCHEDULER, MessageKind.PROBE));
        assertEquals(new Traffic.Tally(2, 40 + 52 + 52, 43 + 52), traffic.tally(Role.WORKER, MessageKind.PROBE));
    }
}
