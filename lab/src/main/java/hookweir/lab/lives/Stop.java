package hookweir.lab.lives;

import java.util.Locale;

/** How a life ends. */
public enum Stop {
    /** SIGKILL. */
    KILL,
    /** SIGTERM, with nobody going on, and SIGKILL 3.7 s later. */
    TERM_THEN_KILL,
    /** SIGTERM, after which the stand-ins go on; the process leaves by itself. */
    TERM,
    /** An Error thrown in the loop; the process leaves at once. */
    ERROR,
    /** A second process on the same listening socket takes over, and the first gets SIGTERM. */
    SUCCESSOR,
    /** Of two processes, the second is killed. */
    KILL_SUCCESSOR;

    /** It can be tried at that point. */
    boolean appliesTo(Point point) {
        return point.needsSecondProcess() ? this == KILL || this == KILL_SUCCESSOR : this != KILL_SUCCESSOR;
    }

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
