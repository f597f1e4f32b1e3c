package hookweir.lab.scale;

/** How long messages take between zones, and which do not arrive. Times are assumed. */
final class Network {
    static final long ZONE_US = 250;
    private static final long REGION_US = 500;
    private static final long ABROAD_US = 15_000;

    private boolean cut;

    /** From one zone to another. */
    long oneWayUs(int from, int to) {
        if (from == to) {
            return ZONE_US;
        }
        return region(from) == region(to) ? REGION_US : ABROAD_US;
    }

    /** Cuts the regions off from each other, or joins them again. */
    void cut(boolean on) {
        cut = on;
    }

    /** What a scheduler of this zone sends to the worker arrives. */
    boolean reaches(int fromZone, HollowWorker worker) {
        return !worker.silent && !(cut && region(fromZone) != region(worker.zone));
    }

    static int region(int zone) {
        return zone / (Shape.ZONES / Shape.REGIONS);
    }
}
