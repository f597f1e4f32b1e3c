package hookweir.net;

import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * A pushed worker list is held by an agent on the same machine. What the agent has counts as notified although the agent calls nobody,
 * so the scheduler has to watch it.
 */
final class PushedListTest {
    @Test
    void agentListIsAppliedFromTheStart() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList()) {
            try (Socket agent = scheduler.acceptListCallAndWatch()) {
                sendListLine(agent, "{'version':8,'full':false,'servers':[" + scheduler.workerEntry("DRAINING") + "]}");
                scheduler.awaitCount("list updates", 2);
                // The only worker is draining: the job is not sent to it and gets a response.
                String response = scheduler.request(TestNode.post("/api", "Req-Id: p1\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
                assertTrue(response.startsWith("HTTP/1.1 429"), response);
                assertEquals(0, scheduler.node.invariants().counted("egress dials"));
            }
        }
    }

    @Test
    void lostAgentWatchResumesAtItsVersion() throws Exception {
        try (TestNode scheduler = TestNode.withPushedList()) {
            try (Socket agent = scheduler.acceptListCallAndWatch()) {
                sendListLine(agent, "{'version':9,'full':true,'servers':[" + scheduler.workerEntry("SERVING") + "]}");
                scheduler.awaitCount("list updates", 2);
            }
            try (Socket agent = scheduler.listService.accept()) {
                assertTrue(receive(agent).startsWith("GET /v1/servers?watch=1&after=9 HTTP/1.1\r\n"));
            }
        }
    }
}
