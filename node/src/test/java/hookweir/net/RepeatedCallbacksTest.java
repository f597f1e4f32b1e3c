package hookweir.net;

import static hookweir.net.TestNode.ACCEPTED;
import static hookweir.net.TestNode.job;
import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.send;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A callback whose response was lost is repeated, when the request may have been sent to the same worker once more. Callbacks don't name
 * their attempt.
 */
@Timeout(30)
class RepeatedCallbacksTest {
    private static final String ID = "r1";

    /** A job whose attempts at the first and the second worker have ended, and whose third attempt was sent to the first one. */
    private static final class ThirdAttempt implements AutoCloseable {
        final TestNode scheduler;
        final ServerSocket secondListener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        final Socket client;
        final Socket first;
        final Socket second;

        /** The first two attempts end by this callback. */
        ThirdAttempt(TestNode scheduler, String ending) throws Exception {
            this.scheduler = scheduler;
            secondListener.setSoTimeout(20_000);
            client = scheduler.connect();
            send(client, job(ID));
            first = scheduler.workerListener.accept();
            first.setSoTimeout(20_000);
            accept(first);
            sendListLine(scheduler.watch, "{'version':8,'full':false,'servers':["
                + PausedLoop.secondWorkerEntry(scheduler, secondListener, "SERVING") + "]}");
            scheduler.awaitCount("list updates", 3);
            report("s-01", ending);
            second = secondListener.accept();
            second.setSoTimeout(20_000);
            accept(second);
            report("s-02", ending);
            assertTrue(receive(first).contains("Req-Id: " + ID + "\r\n"));
        }

        private static void accept(Socket worker) throws IOException {
            assertTrue(receive(worker).contains("Req-Id: " + ID + "\r\n"));
            send(worker, ACCEPTED);
        }

        /** The first worker accepts the third attempt, too, and the scheduler has read that. */
        void acceptThirdAttempt() throws IOException {
            send(first, ACCEPTED);
            scheduler.awaitLoop();
        }

        void report(String worker, String state) throws IOException {
            assertTrue(scheduler.sendCallback(ID, worker, state).startsWith("HTTP/1.1 204"));
        }

        /** Reports the result of the third attempt: it is what the client gets, and no worker got the job again. */
        void completeThirdAttempt() throws Exception {
            report("s-01", "done");
            assertTrue(receive(client).startsWith("HTTP/1.1 200"));
            assertEquals(0, first.getInputStream().available() + second.getInputStream().available());
            assertEquals(1, count("attempts OK"));
        }

        long count(String name) {
            return scheduler.node.invariants().counted(name);
        }

        @Override
        public void close() throws IOException {
            first.close();
            second.close();
            client.close();
            secondListener.close();
            scheduler.close();
        }
    }

    /** The repeated callback ended the attempt that ran, and a job that must not run twice ran at two workers at once. */
    @Test
    void repeatedReturnDoesNotEndAnAttemptThatHasStarted() throws Exception {
        try (ThirdAttempt third = new ThirdAttempt(new TestNode("non_idempotent"), "returned")) {
            send(third.first, ACCEPTED);
            third.report("s-01", "started");
            third.report("s-01", "returned");
            third.scheduler.awaitCount("call-backs for nothing", 1);
            third.completeThirdAttempt();
        }
    }

    /** As above, but the worker has not begun, or not even accepted the job: it may yet run it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void repeatedReturnDoesNotEndAnAttemptThatMayStart(boolean accepted) throws Exception {
        try (ThirdAttempt third = new ThirdAttempt(new TestNode("non_idempotent"), "returned")) {
            if (accepted) {
                third.acceptThirdAttempt();
            }
            third.report("s-01", "returned");
            third.scheduler.awaitCount("call-backs in doubt", 1);
            third.completeThirdAttempt();
        }
    }

    /** A callback that only the third attempt can cause ends it: the attempts before it ended by others. */
    @Test
    void callbackOfAnotherKindEndsTheAttempt() throws Exception {
        try (ThirdAttempt third = new ThirdAttempt(new TestNode("non_idempotent"), "returned")) {
            send(third.first, ACCEPTED);
            third.report("s-01", "failed");
            assertTrue(receive(third.client).startsWith("HTTP/1.1 500"));
            assertEquals(1, third.count("attempts ERROR"));
        }
    }

    /** Where a job may be repeated, the attempt in doubt is cancelled before another one starts: two would be outstanding at once. */
    @ParameterizedTest
    @CsvSource({"read_like,returned", "read_like,failed", "idempotency_key,lost"})
    void attemptInDoubtIsCancelledWhereTheJobMayBeRepeated(String semantics, String state) throws Exception {
        try (ThirdAttempt third = new ThirdAttempt(new TestNode(semantics), state)) {
            third.acceptThirdAttempt();
            third.report("s-01", state);
            assertTrue(receive(third.first).startsWith("DELETE /jobs/" + ID + " "));
            third.scheduler.awaitCount("call-backs in doubt", 1);
        }
    }

    /** Attempts can't be cancelled: the one in doubt remains outstanding. */
    @Test
    void attemptInDoubtRemainsWhereNoneCanBeCancelled() throws Exception {
        try (ThirdAttempt third = new ThirdAttempt(TestNode.withoutCancellation(), "failed")) {
            third.acceptThirdAttempt();
            third.report("s-01", "failed");
            third.scheduler.awaitCount("call-backs in doubt", 1);
            third.completeThirdAttempt();
        }
    }

    /** A worker that hands back a job after it had begun contradicts itself: the job may have run and is not sent again. */
    @Test
    void returnAfterStartMayHaveRun() throws Exception {
        try (TestNode scheduler = new TestNode("non_idempotent"); Socket client = scheduler.connect()) {
            send(client, job(ID));
            try (Socket worker = scheduler.workerListener.accept()) {
                receive(worker);
                send(worker, ACCEPTED);
                scheduler.sendCallback(ID, "s-01", "started");
                scheduler.sendCallback(ID, "s-01", "returned");
                assertTrue(receive(client).startsWith("HTTP/1.1 500"));
                assertEquals(1, scheduler.node.invariants().counted("attempts RESET"));
            }
        }
    }
}
