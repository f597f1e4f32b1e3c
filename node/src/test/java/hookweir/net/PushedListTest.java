package hookweir.net;

import static hookweir.net.TestNode.receive;
import static hookweir.net.TestNode.sendListLine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Lists that are pushed lie with an agent on the own machine: what it holds counts as told, though it calls nobody. */
final class PushedListTest {
    @Test
    void agentListIsAppliedFromTheStart() throws Exception {
        try (TestNode n = TestNode.withPushedList()) {
            try (Socket agent = n.acceptListCallAndWatch()) {
                sendListLine(agent, "{'version':8,'full':false,'servers':[" + n.workerEntry("DRAINING") + "]}");
                n.awaitCount("list updates", 2);
                // Its only worker drains: the job is not sent there, and is answered.
                String answer = n.request(TestNode.post("/api", "Req-Id: p1\r\nReq-Kind: render\r\nReq-Deadline-Ms: 50\r\n", "work"));
                assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
                assertEquals(0, n.node.invariants().counted("egress dials"));
            }
        }
    }

    @Test
    void lostAgentWatchResumesAtItsVersion() throws Exception {
        try (TestNode n = TestNode.withPushedList()) {
            try (Socket agent = n.acceptListCallAndWatch()) {
                sendListLine(agent, "{'version':9,'full':true,'servers':[" + n.workerEntry("SERVING") + "]}");
                n.awaitCount("list updates", 2);
            }
            try (Socket agent = n.listService.accept()) {
                assertTrue(receive(agent).startsWith("GET /v1/servers?watch=1&after=9 HTTP/1.1\r\n"));
            }
        }
    }
}
