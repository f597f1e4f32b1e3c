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

/** Fleets that are short of something, or say what can't be: jobs go on, and nothing is forgotten by mistake. */
@Timeout(60)
final class FaultyWorkersTest {

    private static void sendChange(Socket watch, int version, String entries) throws IOException {
        sendListLine(watch, "{'version':" + version + ",'full':false,'servers':[" + entries + "]}");
    }

    /** What is told holds, but whether that was all is doubtful: the whole list is asked for, and counts from then on. */
    @Test
    void versionRegressionTriggersWholeListCall() throws Exception {
        try (TestNode n = TestNode.withPushedList(); Socket watch = n.acceptListCallAndWatch()) {
            n.freezeClock();
            sendChange(watch, 9, "");
            sendChange(watch, 4, n.workerEntry("DRAINING"));
            n.awaitCount("list updates", 3);
            try (Socket call = n.listService.accept(); Socket client = n.connect()) {
                assertTrue(receive(call).startsWith("GET /v1/servers HTTP/1.1\r\n"));
                send(client, TestNode.post("/api", "Req-Id: b1\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
                n.awaitIoRounds();
                n.advanceFrozenClock(60_000);
                String answer = receive(client);
                assertTrue(answer.startsWith("HTTP/1.1 429"), "its only worker drains, by an old version or not: " + answer);
                n.sendWholeList(call, 5, "SERVING");
                n.awaitCount("list updates", 4);
            }
            n.acceptWatch(5).close();
            n.resumeClock(0);
            assertEquals(1, n.node.invariants().counted("discovery version went back"));
            new AutoWorker(n, true);
            assertTrue(n.request(job("b2")).startsWith("HTTP/1.1 200"));
        }
    }

    /** It holds two connections and ends further ones unread: jobs in turn share them, and a crowd loses nobody. */
    @Test
    void workerWithTwoConnectionsServesJobsInTurn() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (TestNode n = new TestNode("read_like"); Socket first = n.connect()) {
            new AutoWorker(n, n.workerListener, "s-01", true, 2);
            for (int i = 0; i < 10; i++) {
                send(first, job("t" + i));
                assertTrue(receive(first).startsWith("HTTP/1.1 200"), "job " + i);
            }
            assertEquals(1, n.node.invariants().counted("egress dials"));
            for (int i = 0; i < 8; i++) {
                clients.add(n.connect());
                send(clients.get(i), job("c" + i));
            }
            int served = 0;
            for (Socket c : clients) {
                String status = receive(c).substring(9, 12);
                assertTrue(List.of("200", "429").contains(status), status);
                served += status.equals("200") ? 1 : 0;
            }
            assertTrue(served >= 2, "served of a crowd of eight: " + served);
            String again = "";
            for (int i = 0; !again.startsWith("HTTP/1.1 200"); i++) { // set aside for its refusals for a while
                again = n.request(job("a" + i));
            }
        } finally {
            for (Socket c : clients) {
                c.close();
            }
        }
    }

    /**
     * Each machine of a zone falls silent with its links open, and resets them when it is back: a safe job goes on elsewhere
     * in time, one that must not run twice is answered once, as failed, when its fate is known.
     */
    @Test
    void resetAfterSilentZoneLosesNoSafeJob() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress()); TestNode n = TestNode.withPushedList()) {
            other.setSoTimeout(20_000);
            Socket watch = n.acceptListCallAndWatch();
            List<Socket> silent = new ArrayList<>();
            try (Socket client = n.connect(); Socket second = n.connect()) {
                send(client, job("z1"));
                silent.add(n.workerListener.accept());
                receive(silent.get(0));
                send(silent.get(0), ACCEPTED);
                n.sendCallback("z1", "s-01", "done");
                receive(client);
                // Now its link is kept, and silent: what is written to it is never answered.
                send(client, job("z2"));
                receive(silent.get(0));
                send(second, job("z3"));
                silent.add(n.workerListener.accept());
                receive(silent.get(1));
                sendChange(watch, 8, n.workerEntry("DELETED") + ","
                    + n.workerEntry("SERVING").replace("s-01", "s-02").replaceAll(":\\d+','zone", ":" + other.getLocalPort() + "','zone"));
                n.awaitCount("list updates", 2);
                for (Socket s : silent) {
                    s.setSoLinger(true, 0); // back: its machine knows nothing of these links
                    s.close();
                }
                new AutoWorker(n, other, "s-02", true, Integer.MAX_VALUE);
                assertTrue(receive(client).startsWith("HTTP/1.1 200"));
                assertTrue(receive(second).startsWith("HTTP/1.1 200"));
                assertEquals(2, n.node.invariants().counted("attempts RESET"));
            }
            watch.close();
        }
    }
}
