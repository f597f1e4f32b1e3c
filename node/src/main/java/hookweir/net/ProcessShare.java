package hookweir.net;

import hookweir.config.Config;
import hookweir.net.server.Ingress;
import hookweir.net.upgrade.Succession;
import hookweir.net.worker.Egress;
import hookweir.room.ResourceBudget;

/**
 * This process's share of descriptors and memory: all processes of a scheduler share one machine. Belongs to the
 * {@link Loop}.
 */
final class ProcessShare {
    /** Beside clients and links: the JVM's own, operators', discovery's, those that linger, and those let in or ended in a round. */
    private static final int MIN_OWN_DESCRIPTORS = 80;
    /** Of all descriptors, at least: the more there are, the more connections a crowd has ended that are not given back yet. */
    private static final int OWN_SHARE = 6;
    /** The same for one of several processes, which serve side by side for a short while only. */
    private static final int OWN_DESCRIPTORS_OF_SEVERAL = 48;
    private static final int MIN_DESCRIPTORS = 16;

    private final ResourceBudget room;
    private final Egress egress;
    private final Ingress ingress;
    private final Succession succession;
    private final int descriptors;
    private long heldBytes;
    private int heldJobs;

    ProcessShare(Config config, ResourceBudget room, Egress egress, Ingress ingress, Succession succession) {
        this.room = room;
        this.egress = egress;
        this.ingress = ingress;
        this.succession = succession;
        descriptors = config.maxDescriptors();
        limits(config);
    }

    /** Takes over the limits of a configuration; an update is to follow. */
    void limits(Config config) {
        heldBytes = config.maxHeldBytes();
        heldJobs = config.maxHeldJobs();
    }

    private int ownDescriptors(int processes) {
        return processes > 1 ? OWN_DESCRIPTORS_OF_SEVERAL : Math.max(MIN_OWN_DESCRIPTORS, descriptors / OWN_SHARE);
    }

    /** Divides the limits by the number of processes, and keeps within them. */
    void update() {
        int processes = 1 + succession.neighbours();
        room.setLimits(heldBytes / processes, heldJobs / processes);
        room.setMaxDescriptors(Math.max(MIN_DESCRIPTORS, descriptors / processes - ownDescriptors(processes)));
        egress.fit();
        ingress.fit();
    }
}
