package hookweir.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Configuration changes, and machines that poll for them. Today operators copy files and send SIGHUP; that each machine polls and
 * gets the whole file is assumed here, as the plainest thing that could be done.
 */
final class ConfigurationSource {
    private static final String HOST = "10.0.0.3:8080";
    private static final double HOUR_US = 3_600e6;

    /** A machine that polls. */
    private static final class Poller {
        private int held;
        private boolean stopped;
    }

    private final EventQueue queue;
    private final Traffic traffic;
    private final Random random;
    private final long pollUs;
    private final double changesPerHour;
    private final int fileBytes = HttpText.ok(HttpText.configuration(Shape.TEAMS)).length();
    private final List<Long> changedUs = new ArrayList<>();
    private final Samples inForceS;

    ConfigurationSource(EventQueue queue, Traffic traffic, Random random, Shape shape, Samples inForceS) {
        this.queue = queue;
        this.traffic = traffic;
        this.random = random;
        this.inForceS = inForceS;
        pollUs = shape.pollMs() * 1000;
        changesPerHour = shape.changesPerHour();
        if (changesPerHour > 0) {
            nextChange();
        }
    }

    private void nextChange() {
        double gap = -Math.log(1 - random.nextDouble()) * HOUR_US / changesPerHour;
        queue.after((long) gap, () -> {
            changedUs.add(queue.nowUs());
            nextChange();
        });
    }

    /**
     * A machine begins to poll.
     *
     * @param retune runs when a change came
     * @return ends it
     */
    Runnable poll(Runnable retune) {
        Poller poller = new Poller();
        poller.held = changedUs.size();
        traffic.connection(Role.SCHEDULER, Role.CONFIGURATION, MessageKind.CONFIGURATION);
        queue.after((long) (random.nextDouble() * pollUs), () -> ask(poller, retune));
        return () -> poller.stopped = true;
    }

    private void ask(Poller poller, Runnable retune) {
        if (poller.stopped) {
            return;
        }
        int present = changedUs.size();
        int answer = present > poller.held ? fileBytes : HttpText.NOT_MODIFIED.length();
        traffic.call(Role.SCHEDULER, Role.CONFIGURATION, MessageKind.CONFIGURATION, HttpText.configurationRequest(HOST).length(), answer);
        for (; poller.held < present; poller.held++) {
            inForceS.add((queue.nowUs() + 2 * Network.ZONE_US - changedUs.get(poller.held)) / 1e6);
        }
        if (answer == fileBytes) {
            queue.after(2 * Network.ZONE_US, retune);
        }
        queue.after(pollUs, () -> ask(poller, retune));
    }
}
