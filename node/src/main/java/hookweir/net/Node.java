package hookweir.net;

import hookweir.config.Config;
import hookweir.config.ConfigReader;
import hookweir.config.InvalidSettingException;
import hookweir.net.admin.AdminServer;
import hookweir.net.admin.Metrics;
import hookweir.net.admin.ServingState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;

/** One scheduler: puts the transport, the loop and the host together, and ends them in order. */
public final class Node {
    /** The status of a process that an error ended, as the JVM's own for a lack of memory. */
    static final int EXIT_FATAL_ERROR = 3;

    /** The last one taken over. Guarded by this once serving. */
    private Config config;
    private final Invariants invariants = new Invariants();
    private final Loop loop;
    private final Transport transport;
    private final ServingState standing = new ServingState();
    private final Metrics figures = new Metrics();
    private final SocketHost host;
    private int adminPort;
    private final CountDownLatch ended = new CountDownLatch(1);

    public Node(Config config) {
        this(config, System::nanoTime);
    }

    /** By another monotonic clock, in ns. */
    Node(Config config, LongSupplier clock) {
        this.config = config;
        loop = new Loop(invariants, clock);
        transport = new Transport(invariants, loop);
        host = new SocketHost(config, loop, transport, invariants, standing, figures);
    }

    /**
     * Reads the configuration anew and goes over to its settings and discovery; a faulty one is logged and the running one
     * kept. Any thread but the loop: the file is read here. One at a time, so that the last read wins.
     */
    public synchronized void reload(Map<String, String> env) {
        try {
            Config again = ConfigReader.reload(env, config);
            config = again;
            loop.post(() -> host.reload(again));
        } catch (InvalidSettingException e) {
            invariants.count("reloads refused");
            figures.configurationReloaded(false);
            Log.line("the configuration stays as it was: " + e.getMessage());
        }
    }

    /** To be called before the configuration is read: a SIGHUP from now on is heeded once the scheduler serves. */
    public static void installReloadSignalHandler() {
        SighupHandler.install();
    }

    /** Serves until SIGTERM and all that is held then is finished; the exit status. */
    public int serve() throws IOException {
        loop.onFatalError(Node::exitOnFatalError);
        int port;
        try {
            port = start();
        } catch (IOException e) {
            Log.line("hookweir: " + e.getMessage());
            return 1;
        }
        var settings = config.settings().policySettings;
        Log.line(config.name() + " serves on port " + port + ", scheduler " + settings.schedulerIndex + " of " + settings.schedulerCount
            + " in zone " + settings.zone);
        SighupHandler.onSignal(() -> reload(System.getenv()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            drain();
            awaitEnd();
        }, "drain"));
        run();
        return 0;
    }

    /** Nothing of this state can be trusted: says so, and ends without the hooks that would. */
    private static void exitOnFatalError(Error e) {
        try {
            Log.line("hookweir: the loop ended by " + e + ", leaving at once with status " + EXIT_FATAL_ERROR);
        } finally {
            Runtime.getRuntime().halt(EXIT_FATAL_ERROR);
        }
    }

    /** Binds and seeds; the port that it got. {@link #run} is to follow. */
    public int start() throws IOException {
        transport.start();
        if (config.adminAddress() != null) {
            adminPort = bindOrExplain("admin_addr", config.adminAddress(), () -> new AdminServer(loop, transport, invariants, standing, figures,
                () -> loop.post(host::quiesceChanged)).listen(config.adminAddress()));
        }
        // Seeded before any request can be read, as this is posted first.
        loop.post(() -> host.start(config));
        int port = bindOrExplain(config.inheritsListenSocket() ? "RELAY_FD" : "listen", config.listenAddress(), () -> host.listen(config));
        return port;
    }

    /** The operators' port, once started; 0 where they have no address. */
    public int adminPort() {
        return adminPort;
    }

    private interface Binding {
        int bind() throws IOException;
    }

    private static int bindOrExplain(String key, InetSocketAddress at, Binding binding) throws IOException {
        try {
            return binding.bind();
        } catch (IOException e) {
            throw new IOException("setting " + key + " names " + at + ", which can't be used: " + e.getMessage(), e);
        }
    }

    /** The loop, on the calling thread, until the end of a drain. */
    public void run() throws IOException {
        try {
            loop.run();
        } finally {
            // Also where an error ended the loop: the shutdown hook must not wait for ever.
            ended.countDown();
            host.close();
            transport.stop();
        }
    }

    /** Asks for the planned end. */
    public void drain() {
        loop.post(host::drain);
    }

    /** Runs the task on the loop. */
    void post(Runnable task) {
        loop.post(task);
    }

    /** Runs the task on the loop once a whole round of I/O has read what is there by now. */
    void afterIoRound(Runnable task) {
        loop.post(() -> loop.afterIoRound(task));
    }

    /** Ends at once, whatever is held. */
    public void stop() {
        loop.post(loop::stop);
    }

    /** Counters, for tests and logs. */
    public Invariants invariants() {
        return invariants;
    }

    private void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
