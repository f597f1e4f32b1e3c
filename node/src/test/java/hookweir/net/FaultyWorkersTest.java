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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Faulty worker lists and workers that limit or reset connections: jobs go on, and no worker state is lost by mistake. */
@Timeout(60)
final class FaultyWorkersTest {

    private static void sendChange(Socket watch, int version, String entries) throws IOException {
        sendListLine(watch, "{'version':" + version + ",'full':false,'servers':[" + entries + "]}");
    }

    /** An update with a lower version is applied, but others may have been missed: the whole list is requested and holds from then on. */
    @Test
    void versionRegressionTriggersWholeListCall() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList(); Socket watch = scheduler.acceptListCallAndWatch()) {
            scheduler.freezeClock();
            sendChange(watch, 9, "");
            sendChange(watch, 4, scheduler.workerEntry("DRAINING"));
            scheduler.awaitCount("list updates", 3);
            try (Socket call = scheduler.listService.accept(); Socket client = scheduler.connect()) {
                assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                send(client, TestNode.post("/api", "Req-Id: b1\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
                scheduler.awaitIoRounds();
                scheduler.advanceFrozenClock(60_000);
                String response = receive(client);
                assertTrue(response.startsWith("HTTP/1.1 429"), "the only worker is draining, even if an old version says so: " + response);
                scheduler.sendWholeList(call, 5, "SERVING");
                scheduler.awaitCount("list updates", 4);
            }
            scheduler.acceptWatch(5).close();
            scheduler.resumeClock(0);
            assertEquals(1, scheduler.node.invariants().counted("discovery version went back"));
            new AutoWorker(scheduler, true);
            assertTrue(scheduler.request(job("b2")).startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * The worker keeps two connections and closes further ones without reading them. Consecutive jobs have to share a connection, and
     * of many jobs at once each has to get a response.
     */
    @Test
    void workerWithTwoConnectionsServesJobsInTurn() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode scheduler = new TestNode("read_like"); Socket first = scheduler.connect()) {
            new AutoWorker(scheduler, scheduler.workerListener, "s-01", true, 2);
            for (int i = 0; i < 10; i++) {
                send(first, job("t" + i));
                assertTrue(receive(first).startsWith("HTTP/1.1 200"), "job " + i);
            }
            assertEquals(1, scheduler.node.invariants().counted("egress dials"));
            for (int i = 0; i < 8; i++) {
                clients.add(scheduler.connect());
                send(clients.get(i), job("c" + i));
            }
            int served = 0;
            for (Socket c : clients) {
                String status = receive(c).substring(9, 12);
                assertTrue(List.of("200", "429").contains(status), status);
                served += status.equals("200") ? 1 : 0;
            }
            assertTrue(served >= 2, "served of eight jobs at once: " + served);
            String again = "";
            for (int i = 0; !again.startsWith("HTTP/1.1 200"); i++) { // the worker is excluded temporarily because of its rejections
                again = scheduler.request(job("a" + i));
            }
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    /**
     * A machine becomes silent with its connections open and resets them when it is back. The read-like jobs on them have to be
     * retried at another worker in time. (A job that must not run twice gets one error response once its outcome is known.)
     */
    @Test
    void resetAfterSilentZoneLosesNoSafeJob() throws Exception {
        try (ServerSocket secondListener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode scheduler = TestNode.withPushedList()) {
            secondListener.setSoTimeout(20_000);
            Socket watch = scheduler.acceptListCallAndWatch();
            List<Socket> silent = new ArrayList<>();
            try (Socket client = scheduler.connect(); Socket second = scheduler.connect()) {
                send(client, job("z1"));
                silent.add(scheduler.workerListener.accept());
                receive(silent.get(0));
                send(silent.get(0), ACCEPTED);
                scheduler.sendCallback("z1", "s-01", "done");
                receive(client);
                // The connection is now idle and will be reused; what is written to it gets no response.
                send(client, job("z2"));
                receive(silent.get(0));
                send(second, job("z3"));
                silent.add(scheduler.workerListener.accept());
                receive(silent.get(1));
                sendChange(watch, 8, scheduler.workerEntry("DELETED") + ","
                    + scheduler.workerEntry("SERVING").replace("s-01", "s-02").replaceAll(":\\d+','zone", ":" + secondListener.getLocalPort() + "','zone"));
                scheduler.awaitCount("list updates", 2);
                for (Socket s : silent) {
                    s.setSoLinger(true, 0); // the machine is back and does not know these connections
                    s.close();
                }
                new AutoWorker(scheduler, secondListener, "s-02", true, Integer.MAX_VALUE);
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(receive(second).startsWith("HTTP/1.1 200"));
                assertEquals(2, scheduler.node.invariants().counted("attempts RESET"));
            }
            watch.close();
        }
    }
}
