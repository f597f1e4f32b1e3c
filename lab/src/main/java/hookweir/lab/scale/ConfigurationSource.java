package hookweir.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates configuration changes and the machines that poll for them. Polling is an assumption of the simulation: operators copy
 * the files and send SIGHUP. Polling for the whole file is the simplest way to distribute it.
 */
final class ConfigurationSource {
    private static final String HOST = "10.0.0.3:8080";
    private static final double HOUR_US = 3_600e6;

    /** A machine that polls the configuration. */
    private static final class Poller {
        private int receivedChanges;
        private boolean stopped;
    }

    private final EventQueue queue;
    private final Traffic traffic;
    private final Random random;
    private final long pollUs;
    private final double changesPerHour;
    private final int fileBytes = HttpMessages.okResponse(HttpMessages.configurationFile(Shape.TEAM_COUNT)).length();
    private final List<Long> changeTimesUs = new ArrayList<>();
    private final Samples activationDelayS;

    ConfigurationSource(EventQueue queue, Traffic traffic, Random random, Shape shape, Samples activationDelayS) {
        this.queue = queue;
        this.traffic = traffic;
        this.random = random;
        this.activationDelayS = activationDelayS;
        pollUs = shape.pollMs() * 1000;
        changesPerHour = shape.changesPerHour();
        if (changesPerHour > 0) {
            scheduleNextChange();
        }
    }

    private void scheduleNextChange() {
        double gap = -Math.log(1 - random.nextDouble()) * HOUR_US / changesPerHour;
        queue.schedule((long) gap, () -> {
            changeTimesUs.add(queue.nowUs());
            scheduleNextChange();
        });
    }

    /**
     * Starts polling from one machine.
     *
     * @param onChange runs when a poll returned a changed configuration
     * @return a task that stops polling
     */
    Runnable startPolling(Runnable onChange) {
        Poller poller = new Poller();
        poller.receivedChanges = changeTimesUs.size();
        traffic.recordConnection(Role.SCHEDULER, Role.CONFIGURATION, MessageKind.CONFIGURATION);
        queue.schedule((long) (random.nextDouble() * pollUs), () -> pollOnce(poller, onChange));
        return () -> poller.stopped = true;
    }

    private void pollOnce(Poller poller, Runnable onChange) {
        if (poller.stopped) {
            return;
        }
        int totalChanges = changeTimesUs.size();
        int responseBytes = totalChanges > poller.receivedChanges ? fileBytes : HttpMessages.NOT_MODIFIED.length();
        traffic.recordCall(Role.SCHEDULER, Role.CONFIGURATION, MessageKind.CONFIGURATION, HttpMessages.configurationRequest(HOST).length(), responseBytes);
        for (; poller.receivedChanges < totalChanges; poller.receivedChanges++) {
            activationDelayS.add((queue.nowUs() + 2 * Network.SAME_ZONE_US - changeTimesUs.get(poller.receivedChanges)) / 1e6);
        }
        if (responseBytes == fileBytes) {
            queue.schedule(2 * Network.SAME_ZONE_US, onChange);
        }
        queue.schedule(pollUs, () -> pollOnce(poller, onChange));
    }
}
