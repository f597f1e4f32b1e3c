package hookweir.lab.scale;

/** The simulated network: message delays between zones, and partitions. */
final class Network {
    static final long SAME_ZONE_US = 250;
    private static final long SAME_REGION_US = 500;
    private static final long CROSS_REGION_US = 15_000;

    private boolean partitioned;

    /** Returns the one-way delay between two zones. */
    long oneWayUs(int from, int to) {
        if (from == to) {
            return SAME_ZONE_US;
        }
        return regionOf(from) == regionOf(to) ? SAME_REGION_US : CROSS_REGION_US;
    }

    /** Starts or ends a network partition between the regions. */
    void setPartitioned(boolean on) {
        partitioned = on;
    }

    /** Returns whether the worker responds to messages from this zone. */
    boolean canReach(int fromZone, SimulatedWorker worker) {
        return !worker.unresponsive && !(partitioned && regionOf(fromZone) != regionOf(worker.zone));
    }

    static int regionOf(int zone) {
        return zone / (Shape.ZONE_COUNT / Shape.REGION_COUNT);
    }
}
