package hookweir.net.admin;

/**
 * Whether this process takes clients and wants them: set by start, operators and signals, read by {@code /healthz}
 * and by the operators' calls. Any thread; nobody waits for the loop to learn it.
 */
public final class Standing {
    private volatile boolean serving;
    private volatile boolean quiesced;
    private volatile boolean leaving;

    /** From now on clients are let in. */
    public void serves() {
        serving = true;
    }

    /** The planned end has begun; nothing undoes it. */
    public void leaves() {
        leaving = true;
    }

    /** Clients are to go elsewhere (true) or may come again. */
    public void quiesce(boolean on) {
        quiesced = on;
    }

    /** This process takes clients: also while they are sent away, as those who come are served. */
    public boolean takesClients() {
        return serving && !leaving;
    }

    /** New clients are welcome. */
    public boolean wantsClients() {
        return takesClients() && !quiesced;
    }

    /** Operators have sent the clients away. */
    public boolean isQuiesced() {
        return quiesced;
    }
}
