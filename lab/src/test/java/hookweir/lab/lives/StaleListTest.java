package hookweir.lab.lives;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hookweir.lab.check.History;
import hookweir.lab.check.RuleChecker;
import hookweir.lab.net.Ports;
import hookweir.lab.record.Recorder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Incident 1 on a real process: the workers drain while the list service is reached but too busy to answer. Once the news counts
 * as told, no job may go to them, whether the process had a list before or starts with the one last held.
 */
@Timeout(120)
final class StaleListTest {
    private static final Path ROOT = Path.of("..");
    private static final int JOBS = 4;
    /** The news counts as told 6 s after the list service had it; the grace and the recorder's grain come on top. */
    private static final long COUNTS_MS = 6_500;

    @TempDir
    Path folder;
    private Recorder witness;
    private Workers workers;
    private ListService list;
    private Life life;
    private int port;

    @BeforeEach
    void begin() throws IOException {
        port = Ports.free();
        witness = new Recorder(folder.resolve("history.jsonl"), Scenario.terms());
        workers = new Workers(Point.AFTER_202, "none", port, witness);
        list = new ListService(workers, witness);
        Files.writeString(folder.resolve("config.json"), Scenario.config(list.port(), list.list()));
    }

    @AfterEach
    void end() throws IOException {
        if (life != null) {
            life.discard();
        }
        workers.close();
        list.close();
    }

    private void startLife(int number) throws IOException, InterruptedException {
        life = Life.start(ROOT, folder, null, port, number, false, witness);
        life.awaitReady();
    }

    /** Jobs with too little time to wait for the list service: each has to be refused, and none sent. */
    private void askInVain() throws IOException, InterruptedException {
        for (int i = 0; i < JOBS; i++) {
            assertEquals(Asker.End.REFUSED, new Asker(port, "late-" + i, "live-status", null, witness).end());
        }
    }

    private void assertKept() throws Exception {
        life.kill();
        witness.finish();
        List<RuleChecker.Violation> breaches = RuleChecker.check(History.read(folder.resolve("history.jsonl")));
        assertTrue(breaches.isEmpty(), breaches.toString());
    }

    @Test
    void aProcessThatLostItsWatchSendsNothingByItsOldList() throws Exception {
        startLife(1);
        assertEquals(Asker.End.SERVED, new Asker(port, "early", "live-status", null, witness).end());
        list.drainsAllWhileBusy();
        Thread.sleep(COUNTS_MS);
        askInVain();
        assertKept();
    }

    @Test
    void aProcessThatStartsSendsNothingByTheListAsLastHeld() throws Exception {
        startLife(1);
        life.kill();
        list.drainsAllWhileBusy();
        startLife(2);
        Thread.sleep(COUNTS_MS);
        askInVain();
        assertKept();
    }
}
