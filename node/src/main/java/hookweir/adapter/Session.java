package hookweir.adapter;

import hookweir.Contract;
import hookweir.Contract.Outcome;
import hookweir.Contract.Report;
import hookweir.Contract.Request;
import hookweir.Contract.Settings;
import hookweir.Contract.Worker;
import hookweir.Contract.WorkerState;
import hookweir.Policy;
import hookweir.config.ReportFields;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Translates batches of the simulator protocol into events of {@link Contract}, and its actions into replies. */
final class Session {
    /** Creates the dispatcher of one instance. */
    interface DispatcherFactory {
        Contract.Dispatcher create(Settings settings, long seed, Contract.Host host);
    }

    /** Codes of the event records in the simulator protocol. */
    private static final int STREAMING = 1;
    private static final int REQUEST = 2;
    private static final int PROGRESS = 3;
    private static final int PROBED = 4;
    private static final int START = 5;
    private static final int STOP = 6;
    private static final int TIMER = 7;
    private static final int DEFINE_LIST = 8;
    private static final int PEER_MESSAGE = 9;
    private static final int OUTCOME = 10;
    private static final int USE_LIST = 11;
    private static final int WITHDRAWN = 12;
    /** Code of the reply record that reports an exception in the dispatcher. */
    private static final int FATAL = 10;

    /** Scope of a worker list: only the changed workers. */
    private static final int SCOPE_CHANGES = 2;
    /** Scope of a worker list: none, as the call to the list service failed. */
    private static final int SCOPE_FAILED = 3;
    /** Topic of a progress event: the worker has started the job. */
    private static final int TOPIC_STARTED = 1;
    /** Flags of a request. */
    private static final int FLAG_HAS_HINT = 1;
    private static final int FLAG_REPEAT = 2;
    /** States of a worker in a list. */
    private static final int STATE_DRAINING = 0;
    private static final int STATE_READY = 1;
    private static final int STATE_GONE = 2;

    private static final int MAX_LISTS = 16;
    private static final int ENTRY_BYTES = 23;
    /** Offset of the worker's state in a list entry. */
    private static final int ENTRY_STATE_OFFSET = 16;

    private final FrameReader in;
    private final FrameWriter out;
    private final DispatcherFactory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Worker>> lists = new ArrayList<>();
    private final Report report = new Report();
    private long nowUs;

    /** A simulated scheduler instance. */
    private static final class Instance {
        Contract.Dispatcher dispatcher;
        String[] reportFields;
    }

    Session(InputStream in, OutputStream out) {
        this(in, out, (settings, seed, host) -> new Policy(settings, seed, host));
    }

    Session(InputStream in, OutputStream out, DispatcherFactory maker) {
        this.in = new FrameReader(in);
        this.out = new FrameWriter(out);
        this.factory = maker;
        for (int i = 0; i < MAX_LISTS; i++) {
            lists.add(null);
        }
    }

    void run() throws IOException, InvalidInputException {
        while (in.readFrame()) {
            long records = in.u32();
            in.skip(4);
            nowUs = in.i64();
            for (long i = 0; i < records; i++) {
                handleEvent();
            }
            if (!in.isAtEnd()) {
                throw new InvalidInputException("bytes are left over behind the last record", in.position());
            }
            out.flush();
        }
    }

    private void handleEvent() throws InvalidInputException {
        long at = in.position();
        int code = in.u8();
        if (code == DEFINE_LIST) {
            defineList(at);
            return;
        }
        if (code == 0 || code > WITHDRAWN) {
            throw new InvalidInputException("unknown event code " + code, at);
        }
        int instanceId = in.i32();
        if (code == START) {
            startInstance(instanceId, at);
            return;
        }
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw new InvalidInputException("event " + code + " for unknown instance " + Integer.toUnsignedString(instanceId), at);
        }
        switch (code) {
            case STREAMING -> {
                int id = in.i32();
                in.skip(4);
                int attempt = in.u16();
                in.skip(4);
                runGuarded(instanceId, () -> instance.dispatcher.streamStarted(nowUs, id, attempt));
            }
            case REQUEST -> deliverRequest(instanceId, instance);
            case PROGRESS -> {
                int id = in.i32();
                int attempt = in.u16();
                int worker = in.i32();
                int topic = in.u8();
                float share = in.f32();
                runGuarded(instanceId, () -> instance.dispatcher.progressReported(nowUs, id, attempt, worker, topic == TOPIC_STARTED ? 0 : share));
            }
            case PROBED -> {
                int worker = in.i32();
                long elapsed = in.u32();
                Outcome outcome = readOutcome();
                Report load = readLoadReport(instance);
                runGuarded(instanceId, () -> instance.dispatcher.probeEnded(nowUs, worker, outcome, elapsed, load));
            }
            case STOP -> instances.remove(instanceId);
            case TIMER -> {
                long token = in.i64();
                runGuarded(instanceId, () -> instance.dispatcher.timerExpired(nowUs, token));
            }
            case PEER_MESSAGE -> {
                int sender = in.i32();
                byte[] body = in.bytes(in.u16());
                runGuarded(instanceId, () -> instance.dispatcher.peerMessageReceived(nowUs, sender, body));
            }
            case OUTCOME -> {
                int id = in.i32();
                int attempt = in.u16();
                int worker = in.i32();
                Outcome outcome = readOutcome();
                long elapsed = in.u32();
                boolean closed = in.u8() != 0;
                in.skip(4);
                Report load = readLoadReport(instance);
                runGuarded(instanceId, () -> instance.dispatcher.attemptEnded(nowUs, id, attempt, worker, outcome, elapsed, closed, load));
            }
            case USE_LIST -> deliverList(instanceId, instance);
            case WITHDRAWN -> {
                int id = in.i32();
                runGuarded(instanceId, () -> instance.dispatcher.requestAbandoned(nowUs, id));
            }
            default -> throw new InvalidInputException("unknown event code " + code, at);
        }
    }

    private void startInstance(int instanceId, long at) throws InvalidInputException {
        long seed = in.i64();
        long n = in.u32();
        long infoAt = in.position();
        SettingsParser parsed = SettingsParser.parse(in.bytes(n), infoAt);
        Instance instance = new Instance();
        instance.reportFields = parsed.reportFields;
        instances.put(instanceId, instance);
        runGuarded(instanceId, () -> instance.dispatcher = factory.create(parsed.settings, seed, new SimulatorHost(instanceId, out)));
    }

    private void defineList(long at) throws InvalidInputException {
        int number = in.u16();
        if (number >= MAX_LISTS) {
            throw new InvalidInputException("list number " + number + " exceeds " + (MAX_LISTS - 1), at + 1);
        }
        long n = in.u32();
        List<Worker> entries = new ArrayList<>((int) Math.min(n, 1 << 16));
        for (long i = 0; i < n; i++) {
            long entryAt = in.position();
            Worker w = new Worker();
            w.startedAtUs = in.i64();
            w.cell = in.u16();
            w.kind = in.u16();
            w.id = in.i32();
            int state = in.u8();
            if (state > STATE_GONE) {
                throw new InvalidInputException("unknown worker state " + state, entryAt + ENTRY_STATE_OFFSET);
            }
            w.state = state == STATE_READY ? WorkerState.READY : state == STATE_DRAINING ? WorkerState.DRAINING : WorkerState.GONE;
            w.size = in.f32();
            w.zone = in.u16();
            entries.add(w);
        }
        lists.set(number, entries);
    }

    private void deliverList(int instanceId, Instance instance) throws InvalidInputException {
        long at = in.position();
        int number = in.u16();
        in.skip(4);
        int scope = in.u8();
        if (scope == SCOPE_FAILED) {
            runGuarded(instanceId, () -> instance.dispatcher.workerListFailed(nowUs));
            return;
        }
        if (scope > SCOPE_FAILED) {
            throw new InvalidInputException("unknown list scope " + scope, at + 6);
        }
        List<Worker> entries = number < MAX_LISTS ? lists.get(number) : null;
        if (entries == null) {
            throw new InvalidInputException("list number " + number + " was not defined", at);
        }
        runGuarded(instanceId, () -> instance.dispatcher.workerListReceived(nowUs, scope == SCOPE_CHANGES, entries));
    }

    private void deliverRequest(int instanceId, Instance instance) throws InvalidInputException {
        Request request = new Request();
        request.id = in.i32();
        long hint = in.u32();
        int flags = in.u16();
        request.costHintUs = (flags & FLAG_HAS_HINT) != 0 ? hint : 0;
        request.clientRetry = (flags & FLAG_REPEAT) != 0;
        request.requestClass = in.u16();
        request.slots = in.f32();
        request.tenant = in.i32();
        request.key = in.i64();
        request.memory = in.f32();
        request.deadlineAtUs = in.i64();
        runGuarded(instanceId, () -> instance.dispatcher.requestAccepted(nowUs, request));
    }

    private Outcome readOutcome() throws InvalidInputException {
        long at = in.position();
        int code = in.u16();
        return switch (code) {
            case 0 -> Outcome.OK;
            case 255 -> Outcome.ERROR;
            case 254 -> Outcome.FULL;
            case 253 -> Outcome.TIMEOUT;
            case 252 -> Outcome.CONNECT_FAILED;
            case 251 -> Outcome.RESET;
            case 250 -> Outcome.CANCELLED;
            case 249 -> Outcome.MOOT;
            default -> throw new InvalidInputException("unknown outcome " + code, at);
        };
    }

    private Report readLoadReport(Instance instance) throws InvalidInputException {
        int n = in.u8();
        if (n == 0) {
            return null;
        }
        report.clear();
        for (int i = 0; i < n; i++) {
            double v = in.f32();
            if (i < instance.reportFields.length) {
                ReportFields.set(report, instance.reportFields[i], v);
            }
        }
        return report;
    }

    /** Runs one event; an exception in the dispatcher is reported as a FATAL record. */
    private void runGuarded(int instanceId, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            StackTraceElement[] trace = e.getStackTrace();
            String where = trace.length > 0 ? " at " + trace[0] : "";
            out.record(FATAL, instanceId).text(e + where);
        }
    }
}
