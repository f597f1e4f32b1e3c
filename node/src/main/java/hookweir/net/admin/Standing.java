package hookweir.net.admin;

/**
 * Whether this process takes clients and wants them: set by start, operators and signals, read by {@code /healthz}
 * and by the operators' calls. Any thread; nobody waits for the loop to learn it.
 */
public final class Standing {
    private volatile boolean serving;
    private volatile boolean quiesced;
    private volatile boolean leaving;
    private volatile boolean succeeded;

    /** From now on clients are let in. */
    public void serves() {
        serving = true;
    }

    /** The planned end has begun; nothing undoes it. */
    public void leaves() {
        leaving = true;
    }

    /** A later process of this scheduler takes the clients (true), or is gone again. */
    public void succeeded(boolean on) {
        succeeded = on;
    }

    /** Clients are to go elsewhere (true) or may come again. */
    public void quiesce(boolean on) {
        quiesced = on;
    }

    /** This process takes clients: also while they are sent away, as those who come are served. */
    public boolean takesClients() {
        return serving && !leaving && !succeeded;
    }

    /** New clients are welcome to this scheduler, be it to another process of it. */
    public boolean wantsClients() {
        return (takesClients() || succeeded) && !quiesced;
    }

    /** Operators have sent the clients away. */
    public boolean isQuiesced() {
        return quiesced;
    }
}
