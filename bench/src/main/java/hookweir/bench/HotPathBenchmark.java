package hookweir.bench;

import hookweir.Contract;
import hookweir.Policy;
import hookweir.net.server.RequestDecoder;
import hookweir.net.worker.LoadReportParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the most expensive steps of a job: parsing the request, selecting a worker, parsing a load report. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx256m"})
public class HotPathBenchmark {
    private static final byte[] REQUEST = ("POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
        + "Req-Kind: render\r\nReq-Deadline-Ms: 480\r\nContent-Length: 4\r\n\r\nwork").getBytes(StandardCharsets.US_ASCII);

    /** A decision module with the given number of workers, all of them known from the worker list, and no probes. */
    @State(Scope.Thread)
    public static class Module implements Contract.Host {
        @Param({"10", "100", "1000"})
        private int workers;

        private Policy policy;
        private long nowUs = 1_000_000;
        private int nextRequestId;
        private int chosenWorker;

        /** Creates the module and passes it the worker list. */
        @Setup(Level.Trial)
        public void setUp() {
            Contract.Settings settings = new Contract.Settings();
            settings.classes.add(new Contract.RequestClass());
            settings.maxAttempts = 3;
            policy = new Policy(settings, 7, this);
            List<Contract.Worker> list = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                Contract.Worker w = new Contract.Worker();
                w.id = i;
                list.add(w);
            }
            policy.workerListReceived(nowUs, false, list);
        }

        @Override
        public void send(int requestId, int workerId, long timeoutUs) {
            chosenWorker = workerId;
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            chosenWorker = -1;
        }

        @Override
        public void fail(int requestId) {
            chosenWorker = -1;
        }

        @Override
        public void cancel(int requestId, int attempt) {
        }

        @Override
        public void probe(int workerId) {
        }

        @Override
        public void startTimer(long token, long delayUs) {
        }

        @Override
        public void watchWorkerList(boolean on) {
        }

        @Override
        public void fetchWorkerList() {
        }

        @Override
        public void sendToPeer(int peer, byte[] body) {
        }

        @Override
        public void log(String text) {
        }
    }

    private final RequestDecoder framing = new RequestDecoder();
    private final LoadReportParser reports = new LoadReportParser(new String[] {"inflight", "queue", "util"});

    /** Parses one request from its first to its last byte. */
    @Benchmark
    public Object request() {
        int at = framing.feed(REQUEST, 0, REQUEST.length);
        framing.admitBody();
        framing.feed(REQUEST, at, REQUEST.length);
        return framing.takeRequest();
    }

    /** Schedules one job from arrival to end, with one worker selected. */
    @Benchmark
    public int job(Module module) {
        Contract.Request request = new Contract.Request();
        request.id = module.nextRequestId++;
        module.nowUs += 200;
        request.deadlineAtUs = module.nowUs + 1_000_000;
        module.policy.requestAccepted(module.nowUs, request);
        if (module.chosenWorker >= 0) {
            module.policy.attemptEnded(module.nowUs + 100, request.id, 0, module.chosenWorker, Contract.Outcome.OK, 100, true, null);
        }
        return module.chosenWorker;
    }

    /** Parses a load report from a header. */
    @Benchmark
    public Object report() {
        return reports.parsePairs("inflight=7,queue=2,util=0.61");
    }
}
