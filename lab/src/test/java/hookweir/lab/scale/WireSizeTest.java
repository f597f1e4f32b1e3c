package hookweir.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The rule by which bytes of HTTP become bytes on the wire. */
class WireSizeTest {
    @Test
    void headersForEachSegment() {
        assertEquals(1 + 52, WireSize.data(1));
        assertEquals(1448 + 52, WireSize.data(1448));
        assertEquals(1449 + 104, WireSize.data(1449));
    }

    @Test
    void anAcknowledgementForEveryTwoSegmentsAndForALastOneThatNothingAnswers() {
        assertEquals(0, WireSize.acknowledgements(100, true));
        assertEquals(52, WireSize.acknowledgements(100, false));
        assertEquals(52, WireSize.acknowledgements(2 * 1448, false));
        assertEquals(104, WireSize.acknowledgements(2 * 1448 + 1, false));
    }

    @Test
    void aCallCountsBothWaysAtBothEnds() {
        Traffic traffic = new Traffic();
        traffic.call(Role.SCHEDULER, Role.WORKER, MessageKind.PROBE, 40, 43);
        assertEquals(new Traffic.Tally(2, 43 + 52, 40 + 52 + 52), traffic.of(Role.SCHEDULER, MessageKind.PROBE));
        assertEquals(new Traffic.Tally(2, 40 + 52 + 52, 43 + 52), traffic.of(Role.WORKER, MessageKind.PROBE));
    }
}
