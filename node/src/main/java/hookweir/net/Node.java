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

/** One scheduler process: creates the transport, the loop and the host, and stops them in order. */
public final class Node {
    /** The exit status after a fatal error; the JVM uses the same for an OutOfMemoryError. */
    static final int EXIT_FATAL_ERROR = 3;

    /** The configuration applied last. Guarded by this object once serving. */
    private Config config;
    private final Invariants invariants = new Invariants();
    private final Loop loop;
    private final Transport transport;
    private final ServingState standing = new ServingState();
    private final Metrics metrics = new Metrics();
    private final SocketHost host;
    private int adminPort;
    private final CountDownLatch ended = new CountDownLatch(1);

    public Node(Config config) {
        this(config, System::nanoTime);
    }

    /** Uses another monotonic clock, in ns. */
    Node(Config config, LongSupplier clock) {
        this.config = config;
        loop = new Loop(invariants, clock);
        transport = new Transport(invariants, loop);
        host = new SocketHost(config, loop, transport, invariants, standing, metrics);
    }

    /**
     * Reads the configuration again and switches to its settings and list service. An invalid one is logged, and the current one
     * stays in force. Any thread except the loop's, as the file is read here. Synchronized, so that the last one read wins.
     */
    public synchronized void reload(Map<String, String> env) {
        try {
            Config reloaded = ConfigReader.reload(env, config);
            config = reloaded;
            loop.post(() -> host.reload(reloaded));
        } catch (InvalidSettingException e) {
            invariants.count("reloads refused");
            metrics.configurationReloaded(false);
            Log.line("the configuration stays as it was: " + e.getMessage());
        }
    }

    /** Has to be called before the configuration is read: a SIGHUP from now on takes effect once the scheduler serves. */
    public static void installReloadSignalHandler() {
        SighupHandler.install();
    }

    /** Serves until SIGTERM has arrived and all pending requests are finished; returns the exit status. */
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

    /** Logs the error and exits without running the shutdown hooks, because no state can be trusted any more. */
    private static void exitOnFatalError(Error e) {
        try {
            Log.line("hookweir: the loop ended by " + e + ", exiting immediately with status " + EXIT_FATAL_ERROR);
        } finally {
            Runtime.getRuntime().halt(EXIT_FATAL_ERROR);
        }
    }

    /** Binds the addresses, loads the cached worker list and returns the clients' port. {@link #run} has to follow. */
    public int start() throws IOException {
        transport.start();
        if (config.adminAddress() != null) {
            adminPort = bindOrExplain("admin_addr", config.adminAddress(), () -> new AdminServer(loop, transport, invariants, standing, metrics,
                () -> loop.post(host::quiesceChanged)).listen(config.adminAddress()));
        }
        // Posted first, so that the cached worker list is loaded before any request can be read.
        loop.post(() -> host.start(config));
        int port = bindOrExplain(config.inheritsListenSocket() ? "RELAY_FD" : "listen", config.listenAddress(), () -> host.listen(config));
        return port;
    }

    /** Returns the admin port, once started; 0 if there is no admin address. */
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
            throw new IOException("setting " + key + ": can't bind " + at + ": " + e.getMessage(), e);
        }
    }

    /** Runs the loop on the calling thread until a shutdown is complete. */
    public void run() throws IOException {
        try {
            loop.run();
        } finally {
            // Also if an error ended the loop, so that the shutdown hook does not wait forever.
            ended.countDown();
            host.close();
            transport.stop();
        }
    }

    /** Starts a graceful shutdown. */
    public void drain() {
        loop.post(host::drain);
    }

    /** Runs the task on the loop. */
    void post(Runnable task) {
        loop.post(task);
    }

    /** Runs the task on the loop after a full round of I/O has read all data available by now. */
    void afterIoRound(Runnable task) {
        loop.post(() -> loop.afterIoRound(task));
    }

    /** Stops immediately, even if requests are pending. */
    public void stop() {
        loop.post(loop::stop);
    }

    /** Returns the counters, for tests and logs. */
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
