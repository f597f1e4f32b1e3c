package hookweir.lab.scale;

/** How long messages take between zones, and which do not arrive. Times are assumed. */
final class Network {
    static final long SAME_ZONE_US = 250;
    private static final long SAME_REGION_US = 500;
    private static final long CROSS_REGION_US = 15_000;

    private boolean setPartitioned;

    /** From one zone to another. */
    long oneWayUs(int from, int to) {
        if (from == to) {
            return SAME_ZONE_US;
        }
        return regionOf(from) == regionOf(to) ? SAME_REGION_US : CROSS_REGION_US;
    }

    /** Cuts the regions off from each other, or joins them again. */
    void setPartitioned(boolean on) {
        setPartitioned = on;
    }

    /** What a scheduler of this zone sends to the worker arrives. */
    boolean canReach(int fromZone, SimulatedWorker worker) {
        return !worker.unresponsive && !(setPartitioned && regionOf(fromZone) != regionOf(worker.zone));
    }

    static int regionOf(int zone) {
        return zone / (Shape.ZONE_COUNT / Shape.REGION_COUNT);
    }
}
