package hookweir.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.membership.ListLease.Phase;
import org.junit.jupiter.api.Test;

/** Every transition of {@link ListLease}. */
final class ListLeaseTransitionsTest {
    private static final long START_US = 1_000_000_000L;
    private static final long TERM_US = ListLease.NOTIFICATION_DEADLINE_US - ListLease.SAFETY_MARGIN_US;
    private final ListLease lease = new ListLease(false);

    private void refuseTwice(long atUs) {
        lease.callFailed(ListCallFailure.REFUSED, atUs);
        lease.callFailed(ListCallFailure.REFUSED, atUs);
    }

    @Test
    void nothingIsSentBeforeTheFirstList() {
        assertTrue(lease.isPending());
        assertFalse(lease.isValidAt(START_US));
        lease.confirmed(START_US);
        assertEquals(Phase.CONFIRMED, lease.phase());
        assertTrue(lease.isValidAt(START_US));
    }

    @Test
    void oneRefusalDoesNotMeanUnreachable() {
        lease.callFailed(ListCallFailure.REFUSED, START_US);
        assertEquals(Phase.PENDING, lease.phase());
        assertFalse(lease.isValidAt(START_US));
        lease.callFailed(ListCallFailure.REFUSED, START_US);
        assertEquals(Phase.CACHED, lease.phase());
        assertTrue(lease.isValidAt(START_US));
    }

    /** The process accepts requests after the start timeout, but sends none by a list that may be out of date. */
    @Test
    void aBusyListServiceExtendsNothing() {
        for (int i = 0; i < 10; i++) {
            lease.callFailed(ListCallFailure.REFUSED, START_US);
            lease.callFailed(ListCallFailure.UNANSWERED, START_US);
        }
        assertEquals(Phase.PENDING, lease.phase());
        lease.startTimeoutReached(START_US);
        assertEquals(Phase.CACHED, lease.phase());
        assertFalse(lease.isValidAt(START_US));
        refuseTwice(START_US);
        assertFalse(lease.isValidAt(START_US), "an update may have been missed before the service became unreachable");
    }

    @Test
    void aListAfterTheStartTimeoutIsUsed() {
        lease.startTimeoutReached(START_US);
        lease.confirmed(START_US);
        assertEquals(Phase.CONFIRMED, lease.phase());
        assertTrue(lease.isValidAt(START_US));
    }

    @Test
    void confirmedPhaseIsFinal() {
        lease.confirmed(START_US);
        lease.startTimeoutReached(START_US);
        refuseTwice(START_US);
        assertEquals(Phase.CONFIRMED, lease.phase());
    }

    @Test
    void aConfirmationGrantsOneTermFromItsEarliestWriteTime() {
        lease.confirmed(START_US);
        assertEquals(START_US + TERM_US, lease.expiresAtUs());
        assertTrue(lease.isValidAt(START_US + TERM_US - 1));
        assertFalse(lease.isValidAt(START_US + TERM_US));
    }

    @Test
    void responsesWithoutAListExtendNothing() {
        lease.confirmed(START_US);
        lease.callFailed(ListCallFailure.WATCH_ENDED, START_US);
        lease.callFailed(ListCallFailure.UNANSWERED, START_US + 2_000_000);
        assertEquals(START_US + TERM_US, lease.expiresAtUs());
        lease.callFailed(ListCallFailure.REFUSED, START_US + 4_000_000);
        assertEquals(START_US + TERM_US, lease.expiresAtUs(), "the service may have had an update when it answered");
    }

    @Test
    void anOutageWithoutMissedUpdatesExtendsTheLease() {
        lease.confirmed(START_US);
        lease.callFailed(ListCallFailure.WATCH_ENDED, START_US);
        for (int s = 1; s < 60; s++) {
            long at = START_US + s * 1_000_000L;
            lease.callFailed(ListCallFailure.REFUSED, at);
            assertEquals(at + TERM_US, lease.expiresAtUs());
        }
    }

    @Test
    void aSilentWatchBeforeAnOutageExtendsNothing() {
        lease.confirmed(START_US);
        lease.callFailed(ListCallFailure.WATCH_SILENT, START_US);
        lease.callFailed(ListCallFailure.REFUSED, START_US + 3_000_000);
        assertEquals(START_US + TERM_US, lease.expiresAtUs());
    }

    @Test
    void aMoveShortensTheLeaseUntilTheNewServiceConfirms() {
        lease.confirmed(START_US);
        lease.serviceMoved(START_US);
        long end = START_US + ListLease.MOVE_NOTIFICATION_DEADLINE_US - ListLease.SAFETY_MARGIN_US;
        assertEquals(end, lease.expiresAtUs());
        lease.callFailed(ListCallFailure.REFUSED, START_US + 1_000_000);
        assertEquals(end, lease.expiresAtUs());
        lease.confirmed(START_US + 2_000_000);
        assertEquals(START_US + 2_000_000 + TERM_US, lease.expiresAtUs());
    }

    @Test
    void aSilentAgentExtendsTheLease() {
        lease.setListsPushed(true);
        lease.startTimeoutReached(START_US);
        assertTrue(lease.isValidAt(START_US));
        lease.callFailed(ListCallFailure.UNANSWERED, START_US + 5_000_000);
        assertTrue(lease.isValidAt(START_US + 10_000_000));
    }
}
