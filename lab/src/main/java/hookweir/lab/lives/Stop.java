package hookweir.lab.lives;

import java.util.Locale;

/** How a scheduler process is ended. */
public enum Stop {
    /** SIGKILL. */
    KILL,
    /** SIGTERM while all stubs stay paused, and SIGKILL as early as is permitted. */
    TERM_THEN_KILL,
    /** SIGTERM, after which the stubs continue; the process exits by itself. */
    TERM,
    /** An Error thrown in the event loop; the process exits immediately. */
    ERROR,
    /** A second process on the same listening socket takes over, and the first receives SIGTERM. */
    SUCCESSOR,
    /** Of two processes, the second is killed. */
    KILL_SUCCESSOR;

    /** Whether a scenario can combine this stop with the point. */
    boolean appliesTo(Point point) {
        return point.needsSecondProcess() ? this == KILL || this == KILL_SUCCESSOR : this != KILL_SUCCESSOR;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
