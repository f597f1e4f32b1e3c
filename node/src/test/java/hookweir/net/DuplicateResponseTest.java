package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Duplicate responses of a worker that is so busy that its connections are reused before a duplicate would have arrived. The clock is
 * frozen, so that every response may be a duplicate for the job before.
 */
@Timeout(30)
final class DuplicateResponseTest {
    private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    private static final long STEP_US = 1_000;
    private static final long DUPLICATE_WINDOW_US = 75_000;

    /** A scheduler whose only worker connection carried so many jobs that no call waits for its reuse delay any more, and a client. */
    private static final class BusyConnection implements AutoCloseable {
        final TestNode scheduler = new TestNode("non_idempotent");
        final Socket client = scheduler.connect();
        final Socket connection;
        final long reuseWaits;
        private int jobCount;

        BusyConnection() throws Exception {
            scheduler.freezeClock();
            sendJob("b0");
            connection = scheduler.workerListener.accept();
            connection.setSoTimeout(20_000);
            for (long before = -1; count("egress waits for rest") != before;) {
                before = count("egress waits for rest");
                completeJob(connection, "b" + (jobCount - 1));
                sendJob("b" + jobCount);
                while (connection.getInputStream().available() == 0) {
                    scheduler.advanceFrozenClock(STEP_US);
                    scheduler.awaitLoop();
                }
            }
            completeJob(connection, "b" + (jobCount - 1));
            reuseWaits = count("egress waits for rest");
        }

        /** Sends a job and returns once the scheduler has handled it. */
        void sendJob(String id) throws Exception {
            send(client, job(id));
            scheduler.awaitCount("requests", ++jobCount);
            scheduler.awaitLoop();
        }

        /** Accepts and completes the job that arrives on the connection. */
        void completeJob(Socket socket, String id) throws Exception {
            assertTrue(receive(socket).contains("Req-Id: " + id + "\r\n"));
            send(socket, ACCEPTED);
            scheduler.sendCallback(id, "s-01", "done");
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            scheduler.awaitLoop();
        }

        /** Sends a job over the connection before its reuse delay is over. */
        void sendJobWithoutReuseDelay(String id) throws Exception {
            sendJob(id);
            assertTrue(receive(connection).contains("Req-Id: " + id + "\r\n"));
            assertEquals(1, count("egress dials"));
            assertEquals(reuseWaits, count("egress waits for rest"));
        }

        /** The worker responds twice to its last job; the next job gets a new connection, which is in its reuse delay afterwards. */
        Socket sendDuplicateResponse() throws Exception {
            send(connection, DECLINED);
            scheduler.awaitCount("egress answer without a call", 1);
            sendJob("t0");
            Socket next = scheduler.workerListener.accept();
            completeJob(next, "t0");
            return next;
        }

        long count(String name) {
            return scheduler.node.invariants().counted(name);
        }

        @Override
        public void close() throws IOException {
            client.close();
            connection.close();
            scheduler.close();
        }
    }

    /** A duplicate decline for the job before arrives first: the new job runs and must not be sent again. */
    @Test
    void ambiguousDeclineDoesNotEndTheJob() throws Exception {
        try (BusyConnection busy = new BusyConnection()) {
            busy.sendJobWithoutReuseDelay("r1");
            send(busy.connection, DECLINED);
            busy.scheduler.awaitLoop();
            assertEquals(0, busy.count("attempts FULL"));
            send(busy.connection, ACCEPTED);
            busy.scheduler.awaitCount("attempts RESET", 1);
            assertEquals(0, busy.count("attempts FULL"), "it is unknown which response belongs to which job");
            assertEquals("", receive(busy.connection), "the connection is closed");
            assertEquals(1, busy.count("egress dials"));
        }
    }

    /** The callback shows that the worker has the job, whatever the response said. */
    @Test
    void callbackShowsThatDeclineWasForEarlierJob() throws Exception {
        try (BusyConnection busy = new BusyConnection()) {
            busy.sendJobWithoutReuseDelay("r2");
            send(busy.connection, DECLINED);
            busy.scheduler.awaitLoop();
            busy.scheduler.sendCallback("r2", "s-01", "done");
            assertTrue(receive(busy.client).startsWith("HTTP/1.1 200"));
            assertEquals(0, busy.count("attempts FULL"));
            assertEquals(1, busy.count("egress answer without a call"));
        }
    }

    /** No second response arrives within the duplicate window: the decline belongs to the job. */
    @Test
    void declineCountsAfterDuplicateWindow() throws Exception {
        try (BusyConnection busy = new BusyConnection()) {
            busy.sendJobWithoutReuseDelay("r3");
            send(busy.connection, DECLINED);
            busy.scheduler.awaitLoop();
            assertEquals(0, busy.count("attempts FULL"));
            busy.scheduler.resumeClock(DUPLICATE_WINDOW_US);
            busy.scheduler.awaitCount("attempts FULL", 1);
            assertEquals(0, busy.count("egress answer without a call"));
        }
    }

    /** A duplicate 202 for the job before was taken for this job's, and its own response is a decline: the worker may not have the job. */
    @Test
    void ambiguous202IsInDoubtAfterASecondResponse() throws Exception {
        try (BusyConnection busy = new BusyConnection()) {
            busy.sendJobWithoutReuseDelay("r4");
            send(busy.connection, ACCEPTED);
            busy.scheduler.awaitLoop();
            send(busy.connection, DECLINED);
            busy.scheduler.awaitCount("egress answers in doubt", 1);
            busy.scheduler.awaitCount("attempts RESET", 1);
            assertEquals(0, busy.count("attempts FULL"));
        }
    }

    /** The same with a callback between the two responses: the worker has the job. */
    @Test
    void callbackConfirmsAmbiguous202() throws Exception {
        try (BusyConnection busy = new BusyConnection()) {
            busy.sendJobWithoutReuseDelay("r5");
            send(busy.connection, ACCEPTED);
            busy.scheduler.sendCallback("r5", "s-01", "started");
            send(busy.connection, DECLINED);
            busy.scheduler.awaitCount("egress answer without a call", 1);
            busy.scheduler.sendCallback("r5", "s-01", "done");
            assertTrue(receive(busy.client).startsWith("HTTP/1.1 200"));
            assertEquals(0, busy.count("attempts RESET"));
        }
    }

    /** After one duplicate response all connections of the worker keep the reuse delay, even under load, and calls wait instead of connecting. */
    @Test
    void connectionsWaitForReuseAfterDuplicateResponse() throws Exception {
        try (BusyConnection busy = new BusyConnection(); Socket next = busy.sendDuplicateResponse()) {
            busy.sendJob("r6");
            assertEquals(busy.reuseWaits + 1, busy.count("egress waits for rest"));
            assertEquals(2, busy.count("egress dials"));
            busy.scheduler.resumeClock(DUPLICATE_WINDOW_US);
            busy.completeJob(next, "r6");
            assertEquals(2, busy.count("egress dials"));
        }
    }

    private static void closeConnection(Socket connection) throws IOException {
        connection.close();
    }

    /** The worker closes the connection that a call waits for: one new connection and one attempt follow. */
    @Test
    void closedConnectionIsReplacedForWaitingCall() throws Exception {
        try (BusyConnection busy = new BusyConnection(); Socket next = busy.sendDuplicateResponse()) {
            busy.sendJob("r7");
            closeConnection(next);
            busy.scheduler.awaitLoop();
            busy.scheduler.resumeClock(DUPLICATE_WINDOW_US);
            try (Socket other = busy.scheduler.workerListener.accept()) {
                busy.completeJob(other, "r7");
                assertEquals(3, busy.count("egress dials"));
            }
        }
    }

    /** The client disconnects while its job waits for the reuse delay: this is checked after the wait, and the job is not sent. */
    @Test
    void jobOfDisconnectedClientIsNotSentAfterReuseDelay() throws Exception {
        try (BusyConnection busy = new BusyConnection(); Socket next = busy.sendDuplicateResponse(); Socket client = busy.scheduler.connect()) {
            busy.sendJob("r8");
            busy.client.close();
            busy.scheduler.awaitCount("clients gone", 1);
            busy.scheduler.resumeClock(DUPLICATE_WINDOW_US);
            while (busy.count("egress calls gone before their link") == 0) {
                busy.scheduler.awaitLoop();
            }
            send(client, job("r9"));
            assertTrue(receive(next).contains("Req-Id: r9\r\n"), "the first job on it after the reuse delay");
            assertEquals(2, busy.count("egress dials"));
        }
    }
}
