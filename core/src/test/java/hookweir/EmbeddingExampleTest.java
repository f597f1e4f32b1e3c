package hookweir;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example of README.md. */
class EmbeddingExampleTest {
    @Test
    void example() {
        Contract.Settings settings = new Contract.Settings();
        Contract.RequestClass saves = new Contract.RequestClass();
        saves.idempotency = Contract.Idempotency.IDEMPOTENT;
        settings.classes.add(saves);

        RecordingHost host = new RecordingHost();
        Contract.Dispatcher dispatcher = new Policy(settings, 42, host);

        Contract.Worker worker = new Contract.Worker();
        worker.id = 7;
        long now = 1_000_000;
        dispatcher.workerListReceived(now, false, List.of(worker));

        Contract.Request request = new Contract.Request();
        request.id = 1;
        request.deadlineAtUs = now + 1_000_000;
        dispatcher.requestAccepted(now, request);
        assertEquals(List.of("send 1 7"), host.actions);

        dispatcher.attemptEnded(now + 30_000, 1, 0, 7, Contract.Outcome.OK, 30_000, true, null);
    }
}
