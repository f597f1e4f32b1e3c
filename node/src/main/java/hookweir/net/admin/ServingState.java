package hookweir.net.admin;

/**
 * Whether this process accepts clients, and whether new clients should come. Set at startup, by operators and by signals;
 * read by {@code /healthz} and the admin server. Thread-safe, so that readers need not wait for the loop.
 */
public final class ServingState {
    private volatile boolean serving;
    private volatile boolean quiesced;
    private volatile boolean shuttingDown;
    private volatile boolean successorServing;

    /** Called when this process starts to accept clients. */
    public void startServing() {
        serving = true;
    }

    /** Called when a planned shutdown starts; it cannot be undone. */
    public void startShutdown() {
        shuttingDown = true;
    }

    /** Records whether a later process of this scheduler serves the clients. */
    public void setSuccessorServing(boolean isServing) {
        successorServing = isServing;
    }

    /** Records whether operators want clients to use other schedulers. */
    public void setQuiesced(boolean isQuiesced) {
        quiesced = isQuiesced;
    }

    /** Whether this process accepts clients. This holds while quiesced too, as clients that still come are served. */
    public boolean acceptsClients() {
        return serving && !shuttingDown && !successorServing;
    }

    /** Whether new clients should come to this scheduler, in this process or a later one. */
    public boolean wantsNewClients() {
        return (acceptsClients() || successorServing) && !quiesced;
    }

    /** Whether operators want clients to use other schedulers. */
    public boolean isQuiesced() {
        return quiesced;
    }
}
